import {setTimeout as wait} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {ShiftingWork, type ShiftingWorkOptions} from '../src/shifting-work.js';
import {StandInRoutedEndpoint} from '../src/stand-in-routed-endpoint.js';

type Answer = {readonly status: number; readonly isRefused: boolean; readonly milliseconds: number; readonly load: string | null};

async function startEndpoint(t: Test, options: Partial<ShiftingWorkOptions>) {
	const endpoint = new StandInRoutedEndpoint({id: 'e', slots: 2});
	await endpoint.start();
	const work = new ShiftingWork({
		endpoint, slots: 2, queueLength: 1, workMilliseconds: 100, spread: 1, ...options,
	});
	t.teardown(async () => {
		work.stop();
		await endpoint.stop();
	});
	const send = async (path = '/'): Promise<Answer> => {
		const startedAt = performance.now();
		const {status, headers} = await fetch(`http://${endpoint.address}${path}`, {headers: {'x-attempt-id': 'a', 'x-deadline-ms': '1000'}});
		return {
			status, isRefused: headers.has('x-not-executed'), milliseconds: performance.now() - startedAt, load: headers.get('x-server-load'),
		};
	};

	return {endpoint, work, send};
}

test('an endpoint that is full sheds, and says so', async t => {
	const {work, send} = await startEndpoint(t, {kneeFactor: 1});
	const answers = await Promise.all(Array.from({length: 4}, async () => send()));
	t.strictSame(answers.filter(({isRefused}) => isRefused).map(({status}) => status), [503]);
	t.equal(answers.filter(({status}) => status === 200).length, 3);
	t.equal(work.shed, 1);
	t.ok(Math.max(...answers.map(({milliseconds}) => milliseconds)) >= 195, 'the one that waited took two times the work');
});

test('work slows down above the knee and on a cold endpoint', async t => {
	const nearlyFull = await startEndpoint(t, {kneeShare: 0.6, kneeFactor: 3});
	const [first, second] = await Promise.all([nearlyFull.send(), nearlyFull.send()]);
	t.ok(Math.max(first.milliseconds, second.milliseconds) >= 290, 'all slots in use');
	const cold = await startEndpoint(t, {coldMilliseconds: 60_000, coldFactor: 2});
	const {milliseconds} = await cold.send();
	t.ok(milliseconds >= 195, 'cold');
});

test('the speed changes many times a second, and each report tells it', async t => {
	const draws = [0, 1];
	const {send} = await startEndpoint(t, {spread: 4, shiftMilliseconds: 60, draw: () => draws.shift() ?? 0.5});
	const fast = await send('/health');
	await wait(70);
	const slow = await send('/health');
	await wait(70);
	const usual = await send('/health');
	t.strictSame([fast.load, slow.load, usual.load], ['0,0,2,25', '0,0,2,400', '0,0,2,100']);
});
