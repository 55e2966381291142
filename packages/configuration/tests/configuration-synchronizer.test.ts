import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {test} from 'tap';
import {createFailure} from '@tanagerrail/results';
import {getViolationCounts, readMonotonicClock} from '@tanagerrail/telemetry';
import {ConfigurationSynchronizer, type ConfigurationSynchronizerOptions} from '../src/configuration-synchronizer.js';
import type {RevisionRecord} from '../src/revision-record.js';
import {readExample} from './examples.js';

const createRecord = (revision: number, token = `token-${revision}`): RevisionRecord => ({
	revision, answers: readExample('vihmavesi'), by: 'mari', at: '2026-01-01T00:00:00.000Z', token, note: '',
});

async function waitUntil(isMet: () => boolean): Promise<void> {
	while (!isMet()) {
		await new Promise<void>(resolve => {
			setTimeout(resolve, 2);
		});
	}
}

function createSources() {
	const sources: {table: RevisionRecord | undefined; isTableDown: boolean; peers: Record<string, RevisionRecord | undefined>; applied: number[]} = {
		table: undefined, isTableDown: false, peers: {}, applied: [],
	};
	const create = (options: Partial<ConfigurationSynchronizerOptions> = {}) => new ConfigurationSynchronizer({
		clock: readMonotonicClock,
		pollIntervalMilliseconds: 5,
		refreshTimeoutMilliseconds: 50,
		readCurrent: () => sources.isTableDown ? errAsync(createFailure('table-unavailable', {reason: 'down'})) : okAsync(sources.table),
		fetchFromPeer: hostId => okAsync(sources.peers[hostId]),
		listPeers: () => Object.keys(sources.peers),
		onApplied({revision}) {
			sources.applied.push(revision);
		},
		...options,
	});
	return {sources, create};
}

test('a starting host applies the highest revision of table and peers and is not ready before', async t => {
	const {sources, create} = createSources();
	const synchronizer = create();
	t.teardown(() => {
		synchronizer.stop();
	});
	await synchronizer.start();
	t.equal(synchronizer.isReady, false, 'no revision exists yet');
	sources.table = createRecord(3);
	sources.peers = {a: createRecord(4), b: createRecord(2)};
	await waitUntil(() => synchronizer.revision === 4);
	t.equal(synchronizer.isReady, true);
});

test('revisions are fetched from peers while the table service is down, and none is lost', async t => {
	const {sources, create} = createSources();
	sources.isTableDown = true;
	sources.peers = {a: createRecord(1)};
	const synchronizer = create();
	t.teardown(() => {
		synchronizer.stop();
	});
	await synchronizer.start();
	t.equal(synchronizer.revision, 1);
	synchronizer.handleAnnouncedRevision(2, 'a');
	await synchronizer.refresh();
	t.equal(synchronizer.revision, 1, 'the peer announced a revision that it cannot return yet');
	sources.peers.a = createRecord(2);
	await waitUntil(() => synchronizer.revision === 2);
	sources.isTableDown = false;
	sources.table = createRecord(3);
	await waitUntil(() => synchronizer.revision === 3);
	sources.isTableDown = true;
	await synchronizer.refresh();
	t.equal(synchronizer.isReady, true);
	t.equal(synchronizer.revision, 3);
});

test('an older revision from a peer or the table is never applied', async t => {
	const {sources, create} = createSources();
	sources.table = createRecord(5);
	const synchronizer = create();
	t.teardown(() => {
		synchronizer.stop();
	});
	await synchronizer.start();
	sources.table = createRecord(4);
	t.equal(synchronizer.adopt(createRecord(4)), true);
	synchronizer.handleAnnouncedRevision(4, 'a');
	await synchronizer.refresh();
	t.strictSame(sources.applied, [5]);
	t.strictSame(getViolationCounts(), {});
});

test('after a pause the host uses no configuration until a source responds or the refresh times out', async t => {
	const {sources, create} = createSources();
	sources.table = createRecord(1);
	const synchronizer = create();
	t.teardown(() => {
		synchronizer.stop();
	});
	await synchronizer.start();
	sources.table = createRecord(2);
	const refreshed = synchronizer.refresh();
	t.equal(synchronizer.configuration, undefined, 'the old configuration is not used during the refresh');
	await refreshed;
	t.equal(synchronizer.configuration?.revision, 2);
	const unresponsive = create({
		initial: synchronizer.configuration, readCurrent: undefined, listPeers: () => ['a'], fetchFromPeer: () => new ResultAsync(new Promise(() => {/* Never settles. */})),
	});
	await unresponsive.refresh();
	t.equal(unresponsive.isReady, true, 'sources that never respond do not prevent the host from serving');
});

test('a restarted host restores the revision that was in force from its peers', async t => {
	const {sources, create} = createSources();
	sources.table = createRecord(7);
	const first = create();
	await first.start();
	first.stop();
	sources.isTableDown = true;
	sources.peers = {a: createRecord(7)};
	const second = create();
	t.teardown(() => {
		second.stop();
	});
	await second.start();
	t.equal(second.revision, 7);
});

test('a revision with two different contents violates an invariant', async t => {
	const {create} = createSources();
	const synchronizer = create();
	synchronizer.adopt(createRecord(1));
	synchronizer.adopt(createRecord(1, 'other'));
	t.match(getViolationCounts(), {'revision-unique': 1});
});

test('a request that arrives during a refresh can wait for the configuration', async t => {
	const {sources, create} = createSources();
	sources.table = createRecord(1);
	const synchronizer = create();
	t.teardown(() => {
		synchronizer.stop();
	});
	await synchronizer.start();
	sources.table = createRecord(2);
	void synchronizer.refresh();
	t.equal(synchronizer.configuration, undefined);
	await synchronizer.waitForRefresh();
	t.equal(synchronizer.configuration?.revision, 2);
});
