import {okAsync} from 'neverthrow';
import {test} from 'tap';
import type {Configuration} from '@tanagerrail/configuration';
import {buildLevelReport} from '../src/level-report.js';
import {LevelRecorder, type LevelRecord} from '../src/level-recorder.js';
import {SnapshotStore} from '../src/snapshot-store.js';

const configuration = {
	revision: 1,
	measuring: {probesPerSecond: 5, bytesPerSecond: 4096},
	services: [{
		name: 'status',
		workClasses: [
			{name: 'read', kind: 'short', deadlineMilliseconds: 1000},
			{name: 'batch', kind: 'long', deadlineMilliseconds: 60_000},
		],
		serviceLevels: [{
			workClass: 'read', latencyMilliseconds: 100, objective: 0.99, windowDays: 30,
		}],
	}],
} as unknown as Configuration;
const startTime = Date.parse('2026-03-01T12:00:00Z');

function createHost(hostId: string) {
	const clock = {now: startTime};
	const recorder = new LevelRecorder({
		hostId, incarnation: `${hostId}-1`, now: () => clock.now, getConfiguration: () => configuration,
	});
	const record = (count: number, fields: Partial<LevelRecord>) => {
		for (let index = 0; index < count; index++) {
			recorder.record({
				service: 'status', workClass: 'read', milliseconds: 10, status: 200, code: undefined, waitMilliseconds: 0, ...fields,
			});
		}
	};

	return {clock, recorder, record};
}

test('late responses, failures and refusals due to load are bad; errors of the caller are excluded', async t => {
	const {recorder, record} = createHost('a');
	record(90, {});
	record(4, {milliseconds: 101});
	record(3, {status: 500});
	record(3, {status: 503, code: 2001});
	record(7, {status: 400, code: 4001});
	record(2, {status: 499, code: 1006});
	record(1, {status: 404});
	const read = buildLevelReport({
		now: startTime, live: [recorder.takeSnapshot()], stored: [], unreadable: [], listedHostIds: ['a'],
	}).services[0]!.classes.find(({name}) => name === 'read');
	t.match(read, {
		good: 91, bad: 10, excluded: 9, verdict: 'broken',
	});
	t.same(read!.refused.map(({code, count}) => [code, count]), [[4001, 7], [2001, 3], [1006, 2]]);
	t.ok(Math.abs(read!.burn[0]!.shortRate! - (10 / 101 / 0.01)) < 1e-9);
	t.equal(read!.burn[0]!.isAlerting, false, '9.9 is below the threshold of 14.4');
});

test('after an incident the alert ends while the spent error budget stays spent', async t => {
	const {clock, recorder, record} = createHost('a');
	const report = () => buildLevelReport({
		now: clock.now, live: [recorder.takeSnapshot()], stored: [], unreadable: [], listedHostIds: ['a'],
	}).services[0]!.classes.find(({name}) => name === 'read')!;
	record(100, {status: 500});
	t.equal(report().burn[0]!.isAlerting, true);
	clock.now += 10 * 60_000;
	record(100, {});
	const burn = report().burn[0]!;
	t.match(burn, {shortRate: 0, isAlerting: false});
	t.ok(Math.abs(burn.longRate! - 50) < 1e-9);
	clock.now += 7 * 3_600_000;
	record(1, {});
	t.match(report(), {good: 101, bad: 100});
	t.equal(report().burn[1]!.longRate, 0);
});

test('snapshots of several hosts are merged; a missing host is listed and its requests never count as good', async t => {
	const [a, b, c] = [createHost('a'), createHost('b'), createHost('c')];
	a.record(1000, {});
	b.record(1000, {milliseconds: 50});
	c.record(1000, {});
	const objects = new Map<string, Uint8Array>([['reports/broken', Buffer.from('x')]]);
	const store = new SnapshotStore({
		put(key, body) {
			objects.set(key, body);
			return okAsync(undefined);
		},
		get: key => okAsync(objects.get(key)!),
		list: prefix => okAsync([...objects.keys()].filter(key => key.startsWith(prefix))),
		delete: () => okAsync(undefined),
		close: () => undefined,
	});
	await store.write(b.recorder.takeSnapshot(true));
	const stored = await store.readAll();
	const {snapshots, unreadable} = stored._unsafeUnwrap();
	t.same(unreadable, ['reports/broken']);
	const live = [a.recorder.takeSnapshot(), c.recorder.takeSnapshot()];
	const input = {
		now: startTime + 60_000, live, stored: [...snapshots, a.recorder.takeSnapshot()], unreadable: [], listedHostIds: ['a', 'c'],
	};
	const complete = buildLevelReport(input);
	const read = complete.services[0]!.classes.find(({name}) => name === 'read')!;
	t.match(read, {good: 3000, verdict: 'kept'}, 'the stored copy of a live host is not counted twice');
	t.same(complete.missing, []);
	t.ok(Math.abs(read.latency.p99! - 50) < 1, 'the merged histogram contains the latencies of the stopped host');

	const partial = buildLevelReport({...input, live: live.slice(0, 1), listedHostIds: ['a', 'c', 'd']});
	t.same(partial.missing.map(({hostId, reason}) => [hostId, reason]), [['c', 'no-answer'], ['d', 'no-answer']]);
	t.match(partial.services[0]!.classes.find(({name}) => name === 'read'), {good: 2000, bad: 0, verdict: 'unknown'});
	t.same(buildLevelReport({...input, live: [], listedHostIds: []}).missing.map(({reason}) => reason), ['stopped-without-last-snapshot']);
});

test('latencies of short work are compared between windows with and without long work', async t => {
	const {clock, recorder, record} = createHost('a');
	record(100, {milliseconds: 5});
	clock.now += 20_000;
	record(100, {milliseconds: 20});
	record(1, {workClass: 'batch', milliseconds: 8000});
	const report = buildLevelReport({
		now: clock.now, live: [recorder.takeSnapshot()], stored: [], unreadable: [], listedHostIds: [],
	});
	const {behindLong} = report.services[0]!.classes.find(({name}) => name === 'read')!;
	t.ok(Math.abs(behindLong!.ratio! - 4) < 0.2, JSON.stringify(behindLong));
});
