import {test} from 'tap';
import {Agent, request} from 'undici';
import {
	durationHeader, lengthHeader, StandInEndpoint, type EndpointFaults,
} from '../src/index.js';

async function startEndpoint(faults: EndpointFaults = {}) {
	const endpoint = new StandInEndpoint();
	const url = `http://127.0.0.1:${await endpoint.start()}`;
	await request(`${url}/-/faults`, {method: 'PUT', body: JSON.stringify(faults)});
	return {endpoint, url};
}

async function readStatus(...[url, options]: Parameters<typeof request>): Promise<number> {
	const {statusCode, body} = await request(url, options);
	await body.dump();
	return statusCode;
}

// An experiment with a fault that has no effect would pass without testing anything.
test('each fault has its effect on the response and on the recorded end of the request', async t => {
	const cases: Array<{name: string; faults: EndpointFaults; headers?: Record<string, string>; status: number; end: string}> = [
		{
			name: 'healthy', faults: {}, status: 200, end: 'answered',
		},
		{
			name: 'failing', faults: {isFailing: true}, status: 500, end: 'failed',
		},
		{
			name: 'deadline', faults: {slowness: 20}, headers: {[durationHeader]: '10', 'request-timeout': '20'}, status: 504, end: 'expired',
		},
		{
			name: 'cold', faults: {coldMilliseconds: 60_000, coldSlowness: 20}, headers: {[durationHeader]: '10', 'request-timeout': '20'}, status: 504, end: 'expired',
		},
		{
			name: 'stall', faults: {stallMilliseconds: 100}, headers: {[durationHeader]: '1', 'request-timeout': '20'}, status: 504, end: 'expired',
		},
		{
			name: 'full content', faults: {}, headers: {[lengthHeader]: '100'}, status: 200, end: 'answered',
		},
		{
			name: 'range of the content', faults: {}, headers: {[lengthHeader]: '100', range: 'bytes=40-'}, status: 206, end: 'answered',
		},
		{
			name: 'range of outdated content', faults: {}, headers: {[lengthHeader]: '100', range: 'bytes=40-', 'if-range': '"other"'}, status: 200, end: 'answered',
		},
	];
	for (const {name, faults, headers = {}, status, end} of cases) {
		const {endpoint, url} = await startEndpoint(faults);
		t.equal(await readStatus(`${url}/x`, {headers}), status, name);
		t.equal(endpoint.requestRecords[0]?.end, end, name);
		endpoint.stop();
	}
});

test('a full endpoint refuses requests as not run, and a cancelled request releases its slot', async t => {
	const {endpoint, url} = await startEndpoint({slots: 1, shedAbove: 0});
	const controller = new AbortController();
	const running = request(`${url}/long`, {headers: {[durationHeader]: '60000'}, signal: controller.signal});
	const rejection = t.rejects(running);
	while (endpoint.startedCount === 0) {
		await readStatus(`${url}/-/load`);
	}

	const refusal = await request(`${url}/x`);
	t.same([refusal.statusCode, refusal.headers['tanagerrail-outcome'], refusal.headers['endpoint-load-metrics']], [503, 'not-run', 'TEXT named_metrics.in_flight=1,named_metrics.slots=1']);
	controller.abort();
	await rejection;
	while (endpoint.requestRecords.find(({target}) => target === '/long')?.end === undefined) {
		await readStatus(`${url}/-/load`);
	}

	t.equal(await readStatus(`${url}/x`), 200);
	t.same(endpoint.requestRecords.filter(({target}) => target !== '/-/load').map(({end, startedAt}) => [end, startedAt !== undefined]), [['cancelled', true], ['refused', false], ['answered', true]]);
	endpoint.stop();
});

test('the listener is down for a while after a crash, and a silenced connection stays open without a response', async t => {
	const {endpoint, url} = await startEndpoint({crashTarget: '/poison', restartMilliseconds: 50});
	await t.rejects(request(`${url}/poison`));
	await t.rejects(request(`${url}/x`), {code: 'ECONNREFUSED'});
	for (;;) {
		try {
			t.equal(await readStatus(`${url}/x`), 200);
			break;
		} catch {}
	}

	const agent = new Agent({connections: 1});
	await readStatus(`${url}/x`, {dispatcher: agent});
	endpoint.update({silenceShare: 1});
	await t.rejects(request(`${url}/x`, {dispatcher: agent, headersTimeout: 100}));
	t.equal(await readStatus(`${url}/x`, {dispatcher: new Agent()}), 200, 'a new connection works');
	endpoint.stop();
});
