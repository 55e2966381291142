import {setTimeout as wait} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {VariableSpeedWork, type VariableSpeedWorkOptions} from '../src/variable-speed-work.js';
import {StandInRoutedEndpoint} from '../src/stand-in-routed-endpoint.js';

type ResponseSample = {readonly status: number; readonly isRefused: boolean; readonly milliseconds: number; readonly load: string | null};

async function startEndpoint(t: Test, options: Partial<VariableSpeedWorkOptions>) {
	const endpoint = new StandInRoutedEndpoint({id: 'e', slots: 2});
	await endpoint.start();
	const work = new VariableSpeedWork({
		endpoint, slots: 2, queueLength: 1, workMilliseconds: 100, spread: 1, ...options,
	});
	t.teardown(async () => {
		work.stop();
		await endpoint.stop();
	});
	const send = async (path = '/'): Promise<ResponseSample> => {
		const startedAt = performance.now();
		const {status, headers} = await fetch(`http://${endpoint.address}${path}`, {headers: {'x-attempt-id': 'a', 'x-deadline-ms': '1000'}});
		return {
			status, isRefused: headers.has('x-not-executed'), milliseconds: performance.now() - startedAt, load: headers.get('x-server-load'),
		};
	};

	return {endpoint, work, send};
}

test('an endpoint with a full queue refuses requests as not run and counts them', async t => {
	const {work, send} = await startEndpoint(t, {kneeFactor: 1});
	const responses = await Promise.all(Array.from({length: 4}, async () => send()));
	t.strictSame(responses.filter(({isRefused}) => isRefused).map(({status}) => status), [503]);
	t.equal(responses.filter(({status}) => status === 200).length, 3);
	t.equal(work.shed, 1);
	t.ok(Math.max(...responses.map(({milliseconds}) => milliseconds)) >= 195, 'the queued request takes twice the processing time');
});

test('processing slows down above the knee and on a cold endpoint', async t => {
	const nearlyFull = await startEndpoint(t, {kneeShare: 0.6, kneeFactor: 3});
	const [first, second] = await Promise.all([nearlyFull.send(), nearlyFull.send()]);
	t.ok(Math.max(first.milliseconds, second.milliseconds) >= 290, 'all slots in use');
	const cold = await startEndpoint(t, {coldMilliseconds: 60_000, coldFactor: 2});
	const {milliseconds} = await cold.send();
	t.ok(milliseconds >= 195, 'cold');
});

test('the speed changes at the interval, and each load report contains the current speed', async t => {
	const draws = [0, 1];
	const {send} = await startEndpoint(t, {spread: 4, speedChangeMilliseconds: 60, draw: () => draws.shift() ?? 0.5});
	const fast = await send('/health');
	await wait(70);
	const slow = await send('/health');
	await wait(70);
	const normal = await send('/health');
	t.strictSame([fast.load, slow.load, normal.load], ['0,0,2,25', '0,0,2,400', '0,0,2,100']);
});
