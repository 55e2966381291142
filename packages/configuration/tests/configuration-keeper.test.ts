import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {test} from 'tap';
import {createFailure} from '@tanagerrail/results';
import {listViolations, readMonotonicClock} from '@tanagerrail/telemetry';
import {ConfigurationKeeper, type ConfigurationKeeperOptions} from '../src/configuration-keeper.js';
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
	const create = (options: Partial<ConfigurationKeeperOptions> = {}) => new ConfigurationKeeper({
		clock: readMonotonicClock,
		pollMilliseconds: 5,
		refreshMilliseconds: 50,
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

test('a starting host takes the highest of table and peers and is not ready before', async t => {
	const {sources, create} = createSources();
	const keeper = create();
	t.teardown(() => {
		keeper.stop();
	});
	await keeper.start();
	t.equal(keeper.isReady, false, 'nothing is known');
	sources.table = createRecord(3);
	sources.peers = {a: createRecord(4), b: createRecord(2)};
	await waitUntil(() => keeper.revision === 4);
	t.equal(keeper.isReady, true);
});

test('with the table down before, during and after, peers deliver revisions and none is lost', async t => {
	const {sources, create} = createSources();
	sources.isTableDown = true;
	sources.peers = {a: createRecord(1)};
	const keeper = create();
	t.teardown(() => {
		keeper.stop();
	});
	await keeper.start();
	t.equal(keeper.revision, 1);
	keeper.handleNamed(2, 'a');
	await keeper.refresh();
	t.equal(keeper.revision, 1, 'the peer named a revision that it cannot deliver yet');
	sources.peers.a = createRecord(2);
	await waitUntil(() => keeper.revision === 2);
	sources.isTableDown = false;
	sources.table = createRecord(3);
	await waitUntil(() => keeper.revision === 3);
	sources.isTableDown = true;
	await keeper.refresh();
	t.equal(keeper.isReady, true);
	t.equal(keeper.revision, 3);
});

test('an older revision of a peer or of the table is never applied', async t => {
	const {sources, create} = createSources();
	sources.table = createRecord(5);
	const keeper = create();
	t.teardown(() => {
		keeper.stop();
	});
	await keeper.start();
	sources.table = createRecord(4);
	t.equal(keeper.adopt(createRecord(4)), true);
	keeper.handleNamed(4, 'a');
	await keeper.refresh();
	t.strictSame(sources.applied, [5]);
	t.strictSame(listViolations(), {});
});

test('after a pause the host decides nothing until a source or the time limit settles it', async t => {
	const {sources, create} = createSources();
	sources.table = createRecord(1);
	const keeper = create();
	t.teardown(() => {
		keeper.stop();
	});
	await keeper.start();
	sources.table = createRecord(2);
	const refreshed = keeper.refresh();
	t.equal(keeper.configuration, undefined, 'the old configuration is not used in between');
	await refreshed;
	t.equal(keeper.configuration?.revision, 2);
	const silent = create({
		initial: keeper.configuration, readCurrent: undefined, listPeers: () => ['a'], fetchFromPeer: () => new ResultAsync(new Promise(() => {/* Never settles. */})),
	});
	await silent.refresh();
	t.equal(silent.isReady, true, 'sources that never respond do not keep the host from serving');
});

test('a restarted host comes back with the revision that was in force', async t => {
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

test('two contents of one revision break an invariant', async t => {
	const {create} = createSources();
	const keeper = create();
	keeper.adopt(createRecord(1));
	keeper.adopt(createRecord(1, 'other'));
	t.match(listViolations(), {'revision-unique': 1});
});

test('a request that waits for the answer after a pause gets a configuration and is not refused', async t => {
	const {sources, create} = createSources();
	sources.table = createRecord(1);
	const keeper = create();
	t.teardown(() => {
		keeper.stop();
	});
	await keeper.start();
	sources.table = createRecord(2);
	void keeper.refresh();
	t.equal(keeper.configuration, undefined);
	await keeper.waitRefreshed();
	t.equal(keeper.configuration?.revision, 2);
});
