import {test} from 'tap';
import {StandInHostList} from '../src/stand-in-host-list.js';
import {StandInTable} from '../src/stand-in-table.js';

async function put(url: string, body: unknown): Promise<number> {
	const {status} = await fetch(url, {method: 'PUT', body: JSON.stringify(body)});
	return status;
}

test('a table that refuses connections is restored through its control URL, and a malformed fault is rejected without effect', async t => {
	const table = new StandInTable();
	const {url, controlUrl} = await table.start();
	t.teardown(() => {
		table.stop();
	});
	t.equal(await put(`${url}/-/faults`, {slowMilliseconds: 1}), 200);
	t.equal(await put(`${url}/-/faults`, {down: 'perhaps'}), 400);
	t.equal(await put(`${url}/-/faults`, {down: 'refused'}), 200);
	await t.rejects(fetch(`${url}/-/faults`));
	t.equal(await put(`${controlUrl}/-/faults`, {down: 'none'}), 200);
	const faults = await fetch(`${url}/-/faults`);
	t.same(await faults.json(), {
		down: 'none', slowMilliseconds: 1, loseResponses: 0, failWrites: 0,
	});
});

test('the rows and faults of the host list can be changed over HTTP', async t => {
	const list = new StandInHostList();
	const url = await list.start();
	t.teardown(() => {
		list.stop();
	});
	const rows = [{targets: ['127.0.0.1:1'], labels: {role: 'entry'}}];
	t.equal(await put(`${list.controlUrl}/-/rows`, rows), 204);
	t.equal(await put(`${list.controlUrl}/-/rows`, [{targets: 1}]), 400);
	let servedRows: unknown = [];
	while (JSON.stringify(servedRows) !== JSON.stringify(rows)) {
		const response = await fetch(url);
		servedRows = await response.json();
	}

	t.equal(await put(`${list.controlUrl}/-/faults`, {down: 'unavailable'}), 200);
	const {status} = await fetch(url);
	t.equal(status, 503);
});
