import type {ResultAsync} from 'neverthrow';
import {test} from 'tap';
import type {Failure} from '@tanagerrail/results';
import {StandInTable, noPlatformFaults, type PlatformFaults} from '@tanagerrail/stand-ins';
import {createDynamoTable} from '../src/dynamo-table.js';
import type {TableCondition, TableWrite} from '../src/table-service.js';

const createPut = (key: string, value: string, condition: TableCondition): TableWrite => ({kind: 'put', item: {key, attributes: {token: value}}, condition});
const absent: TableCondition = {kind: 'absent'};
const none: TableCondition = {kind: 'none'};

const summarizeResult = async (result: ResultAsync<unknown, Failure>) => result.match(value => String(value && 'written'), ({id}) => id);

async function waitFor(check: () => Promise<boolean>, milliseconds: number): Promise<boolean> {
	const end = Date.now() + milliseconds;
	for (;;) {
		const isMet = await check();
		if (isMet || Date.now() >= end) {
			return isMet;
		}
	}
}

test('each fault of a write maps to its failure, and only a write that may have taken effect is ambiguous', async t => {
	const cases: Array<[name: string, faults: Partial<PlatformFaults>, id: string, isWritten: boolean]> = [
		['response lost after the effect', {loseResponses: 1}, 'table-ambiguous', true],
		['status 500 before the effect', {failWrites: 1}, 'table-ambiguous', false],
		['timeout', {slowMilliseconds: 300}, 'table-ambiguous', true],
		['status 503', {down: 'unavailable'}, 'table-ambiguous', false],
		['connection refused', {down: 'refused'}, 'table-unavailable', false],
	];
	const standIn = new StandInTable();
	const {url} = await standIn.start();
	t.teardown(() => {
		standIn.stop();
	});
	for (const [index, [name, faults, id, isWritten]] of cases.entries()) {
		// A new client has no idle connection; on an idle one, a refused connection would appear as a lost one.
		const table = createDynamoTable({url, timeoutMilliseconds: 200});
		await standIn.update(faults);
		t.equal(await summarizeResult(table.write(createPut(`case#${index}`, 'a', absent))), id, name);
		await standIn.update(noPlatformFaults);
		// A delayed write takes effect after its call has timed out.
		const isFound = await waitFor(async () => await summarizeResult(table.get(`case#${index}`)) !== 'undefined', isWritten ? 2000 : 0);
		t.equal(isFound, isWritten, `${name}: written`);
		table.close();
	}
});

test('a write whose condition does not hold changes nothing, alone or in a transaction', async t => {
	const standIn = new StandInTable({pageSize: 2});
	const {url} = await standIn.start();
	const table = createDynamoTable({url});
	t.teardown(() => {
		table.close();
		standIn.stop();
	});
	const equals = (value: string): TableCondition => ({kind: 'equals', attribute: 'token', value});
	const write = async (...writes: TableWrite[]) => {
		const written = await (writes.length === 1 ? table.write(writes[0]!) : table.transact(writes));
		return written.match(() => 'written', ({id, parameters}) => `${id} ${parameters.key}`);
	};

	t.equal(await write(createPut('k#1', 'a', absent)), 'written');
	t.equal(await write(createPut('k#1', 'b', absent)), 'table-condition-failed k#1');
	t.equal(await write(createPut('k#1', 'b', equals('x'))), 'table-condition-failed k#1');
	t.equal(await write({kind: 'delete', key: 'k#1', condition: equals('x')}), 'table-condition-failed k#1');
	t.equal(await write(createPut('k#2', 'c', absent), createPut('k#1', 'c', equals('x'))), 'table-condition-failed k#1');
	t.equal(await summarizeResult(table.get('k#2')), 'undefined', 'no part of a rejected transaction is written');
	t.equal(await write(createPut('k#2', 'c', absent), createPut('k#1', 'c', equals('a'))), 'written');
	await write({kind: 'put', item: {key: 'k#3', attributes: {}, expiresAtSeconds: 7}, condition: none});
	const listed = await table.list('k#');
	t.same(listed._unsafeUnwrap(), [
		{key: 'k#1', attributes: {token: 'c'}}, {key: 'k#2', attributes: {token: 'c'}}, {key: 'k#3', attributes: {}, expiresAtSeconds: 7},
	], 'all pages in key order');
});

test('a throttled call fails as throttled, not as ambiguous', async t => {
	const standIn = new StandInTable({writesPerSecond: 1, readsPerSecond: 1});
	const {url} = await standIn.start();
	const table = createDynamoTable({url});
	t.teardown(() => {
		table.close();
		standIn.stop();
	});
	t.equal(await summarizeResult(table.write(createPut('k#1', 'a', none))), 'undefined');
	t.equal(await summarizeResult(table.write(createPut('k#1', 'b', none))), 'table-throttled');
	t.equal(await summarizeResult(table.transact([createPut('k#1', 'b', none)])), 'table-throttled');
	t.equal(await summarizeResult(table.get('k#1')), 'written');
	t.equal(await summarizeResult(table.get('k#1')), 'table-throttled');
});
