import {setTimeout as wait} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {routedBehaviours, type StandInRoutedEndpoint} from '@tanagerrail/stand-ins';
import {startEdgeHost} from './fixtures/edge-fixture.js';

/** What a caller got for a read; `retryAfter` in seconds. */
type ReadResult = {readonly status: number; readonly retryAfter: number; readonly milliseconds: number};

type Host = Awaited<ReturnType<typeof startEdgeHost>>;

/** Sends reads at a steady rate for a time and returns their statuses and values of `Retry-After`. */
async function sendReads({send}: Host, milliseconds: number): Promise<ReadResult[]> {
	const sendRead = async () => {
		const startedAt = performance.now();
		const {status, headers} = await send({});
		return {status, retryAfter: Number(headers['retry-after']), milliseconds: performance.now() - startedAt};
	};

	const until = performance.now() + milliseconds;
	const sent: Array<Promise<ReadResult>> = [];
	while (performance.now() < until) {
		sent.push(sendRead());
		await wait(10);
	}

	return Promise.all(sent);
}

async function startReads(t: Test, count: number): Promise<Host & {readonly reads: StandInRoutedEndpoint[]}> {
	const host = await startEdgeHost(t, {services: {reads: count, payments: 1}});
	return {...host, reads: host.endpoints.reads!};
}

/** Ways in which a server announces that it is leaving, apart from a success. */
const leavingResponses = {
	'a success': routedBehaviours.serve, 'a refusal': routedBehaviours.shed, 'a failure': routedBehaviours.fail,
};

for (const [title, behaviour] of Object.entries(leavingResponses)) {
	test(`guards against requests to an endpoint that has announced with ${title} that it is leaving`, async t => {
		const host = await startReads(t, 3);
		const [leaving] = host.reads;
		leaving!.behaviour = behaviour;
		leaving!.isLeaving = true;
		await sendReads(host, 300);
		const [requests, probes] = [leaving!.requests.length, leaving!.probeCount];
		const statuses = await sendReads(host, 500);
		t.same(new Set(statuses.map(({status}) => status)), new Set([200]));
		t.equal(leaving!.requests.length, requests, 'it gets no request');
		t.equal(leaving!.probeCount, probes, 'it gets no probe');
	});
}

test('endpoints that all leave at once serve for part of the drain time and get nothing after it', async t => {
	const host = await startReads(t, 2);
	for (const endpoint of host.reads) {
		endpoint.isLeaving = true;
	}

	const early = await sendReads(host, 400);
	t.same(new Set(early.map(({status}) => status)), new Set([200]));
	await wait(1200);
	const counts = host.reads.map(({requests}) => requests.length);
	const late = await sendReads(host, 200);
	t.same(new Set(late.map(({status}) => status)), new Set([503]));
	t.same(host.reads.map(({requests}) => requests.length), counts);
});

test('guards against requests to an endpoint that has asked for a pause', async t => {
	const host = await startReads(t, 3);
	const [paused] = host.reads;
	paused!.behaviour = routedBehaviours.shed;
	paused!.retryAfter = '1.2';
	await sendReads(host, 300);
	const [requests, probes] = [paused!.requests.length, paused!.probeCount];
	t.ok(requests <= 2, `${requests} requests were sent before its response was read`);
	const statuses = await sendReads(host, 500);
	t.same(new Set(statuses.map(({status}) => status)), new Set([200]));
	t.equal(paused!.requests.length, requests, 'it gets no request');
	t.equal(paused!.probeCount, probes, 'it gets no probe');
	paused!.behaviour = routedBehaviours.serve;
	for (const other of host.reads.slice(1)) {
		other.isHealthy = false;
	}

	await wait(600);
	await sendReads(host, 300);
	t.ok(paused!.requests.length > requests, 'it is used again after the pause');
});

test('a pause that is asked for with a health check counts too', async t => {
	const host = await startReads(t, 2);
	const [paused] = host.reads;
	paused!.isHealthy = false;
	paused!.retryAfter = '5';
	await sendReads(host, 200);
	const probes = paused!.probeCount;
	await sendReads(host, 200);
	t.equal(paused!.probeCount, probes);
});

test('callers are refused at once with the end of the first pause, spread, if all endpoints have asked for one', async t => {
	const host = await startReads(t, 2);
	for (const [index, endpoint] of host.reads.entries()) {
		endpoint.behaviour = routedBehaviours.shed;
		endpoint.retryAfter = String(2 + index);
	}

	await sendReads(host, 200);
	const counts = host.reads.map(({requests}) => requests.length);
	const refused = await sendReads(host, 300);
	t.same(new Set(refused.map(({status}) => status)), new Set([503]));
	t.same(host.reads.map(({requests}) => requests.length), counts);
	const returns = refused.map(({retryAfter}) => retryAfter);
	t.ok(Math.min(...returns) > 1, `they return after ${Math.min(...returns)} s at the earliest`);
	t.ok(Math.max(...returns) <= 2.5, `they return after ${Math.max(...returns)} s at the latest`);
	t.ok(new Set(returns).size > refused.length / 2, 'not all at the same time');
	const slow = refused.filter(({milliseconds}) => milliseconds > 200);
	t.same(slow, [], 'none of them waits');
});

for (const retryAfter of ['-1', 'soon', 'Sat, 05 Dec 2026 13:00:00 GMT', '1e3', '', '0']) {
	test(`an endpoint is used although it sends the value "${retryAfter}" of Retry-After`, async t => {
		const host = await startReads(t, 1);
		const [endpoint] = host.reads;
		endpoint!.behaviour = routedBehaviours.shed;
		endpoint!.retryAfter = retryAfter;
		await sendReads(host, 50);
		endpoint!.behaviour = routedBehaviours.serve;
		await wait(100);
		const responses = await sendReads(host, 100);
		t.ok(responses.some(({status}) => status === 200));
	});
}
