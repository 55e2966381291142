import {test} from 'tap';
import {
	EndpointAvailability, maximumPauseMilliseconds, type EndpointNotice, type NoticeChange,
} from '../src/endpoint-availability.js';
import type {DirectoryEndpoint} from '../src/endpoint-directory.js';

const buildEndpoint = (id: string, startedAt = 1): DirectoryEndpoint => ({
	id, address: id, service: 's', failureDomain: 'a', slots: 3, isDraining: false, startedAt, sequence: 1, coldMilliseconds: 0, coldUntil: 0, missingSince: undefined,
});

const leaving: EndpointNotice = {isLeaving: true, pauseMilliseconds: undefined};
const buildPause = (pauseMilliseconds: number): EndpointNotice => ({isLeaving: false, pauseMilliseconds});

/** Notices by endpoint and time, and what is available at a time. */
type AvailabilityCase = {
	readonly notices: ReadonlyArray<readonly [at: number, id: string, notice: EndpointNotice]>;
	readonly at: number;
	readonly available: string;
	readonly pauseMilliseconds?: number;
};

const cases: Readonly<Record<string, AvailabilityCase>> = {
	'all endpoints without a notice': {notices: [], at: 0, available: 'a b'},
	'no endpoint that is leaving': {notices: [[0, 'a', leaving]], at: 0, available: 'b'},
	'no endpoint that is leaving, however long ago it said so': {notices: [[0, 'a', leaving]], at: 100_000, available: 'b'},
	'leaving endpoints for a short time if there is no other': {notices: [[0, 'a', leaving], [500, 'b', leaving]], at: 1200, available: 'b'},
	'no leaving endpoint after that time': {notices: [[0, 'a', leaving], [500, 'b', leaving]], at: 1500, available: ''},
	'no endpoint during its pause': {notices: [[0, 'a', buildPause(1000)]], at: 999, available: 'b'},
	'an endpoint after its pause': {notices: [[0, 'a', buildPause(1000)]], at: 1000, available: 'a b'},
	'no endpoint before the longest of its pauses is over': {notices: [[0, 'a', buildPause(1000)], [100, 'a', buildPause(200)]], at: 900, available: 'b'},
	'the end of the first pause if all are paused': {
		notices: [[0, 'a', buildPause(1000)], [0, 'b', buildPause(700)]], at: 100, available: '', pauseMilliseconds: 600,
	},
	'the end of the pause if the others are leaving': {
		notices: [[0, 'a', buildPause(1000)], [0, 'b', leaving]], at: 100, available: '', pauseMilliseconds: 900,
	},
	'an endpoint that asks for no time': {notices: [[0, 'a', buildPause(0)]], at: 0, available: 'a b'},
	'no endpoint before the longest permitted pause is over': {notices: [[0, 'a', buildPause(1e12)]], at: maximumPauseMilliseconds - 1, available: 'b'},
	'an endpoint after the longest permitted pause': {notices: [[0, 'a', buildPause(1e12)]], at: maximumPauseMilliseconds, available: 'a b'},
};

for (const [title, {notices, at, available, pauseMilliseconds}] of Object.entries(cases)) {
	test(`finds ${title}`, async t => {
		let now = 0;
		const availability = new EndpointAvailability({clock: () => now, getLeavingMilliseconds: () => 1000});
		for (const [noticedAt, id, notice] of notices) {
			now = noticedAt;
			availability.recordNotice(buildEndpoint(id), notice);
		}

		now = at;
		const found = availability.findAvailable([buildEndpoint('a'), buildEndpoint('b')]);
		t.equal(found.endpoints.map(({id}) => id).join(' '), available);
		t.equal(found.pauseMilliseconds, pauseMilliseconds);
	});
}

test('a notice ends with the start of the endpoint that gave it', async t => {
	const availability = new EndpointAvailability({clock: () => 0});
	availability.recordNotice(buildEndpoint('a', 1), leaving);
	t.notOk(availability.isAvailable(buildEndpoint('a', 1)));
	t.ok(availability.isAvailable(buildEndpoint('a', 2)));
});

test('guards against a leaving endpoint that is used again because a host with an older state lists it once more', async t => {
	const availability = new EndpointAvailability({clock: () => 0});
	availability.recordNotice(buildEndpoint('a'), leaving);
	availability.dropRecordsExcept([]);
	t.notOk(availability.isAvailable(buildEndpoint('a')));
});

test('an endpoint without a known start may return under its id after it was gone', async t => {
	const availability = new EndpointAvailability({clock: () => 0});
	availability.recordNotice(buildEndpoint('a', 0), leaving);
	availability.dropRecordsExcept([buildEndpoint('a', 0)]);
	t.notOk(availability.isAvailable(buildEndpoint('a', 0)));
	availability.dropRecordsExcept([]);
	t.ok(availability.isAvailable(buildEndpoint('a', 0)));
});

test('the notices of endpoints that are gone are forgotten after a while', async t => {
	let now = 0;
	const availability = new EndpointAvailability({clock: () => now});
	availability.recordNotice(buildEndpoint('a'), leaving);
	now = 3_600_000;
	availability.dropRecordsExcept([]);
	t.ok(availability.isAvailable(buildEndpoint('a')));
});

test('each change is notified once', async t => {
	const changes: NoticeChange[] = [];
	const availability = new EndpointAvailability({
		clock: () => 0,
		onChange(change) {
			changes.push(change);
		},
	});
	for (const notice of [leaving, leaving, buildPause(100), buildPause(50)]) {
		availability.recordNotice(buildEndpoint('a'), notice);
	}

	t.same(changes.map(({kind, milliseconds}) => [kind, milliseconds]), [['leaving', 0], ['paused', 100]]);
});
