import {test} from 'tap';
import {EndpointDirectory, type EndpointListing} from '../src/endpoint-directory.js';

function buildListing(fields: Partial<EndpointListing> = {}): EndpointListing {
	return {
		id: 'e1', address: '10.0.0.1:80', service: 's', failureDomain: 'a', slots: 3, isDraining: false, startedAt: 100, sequence: 5, coldMilliseconds: 0, ...fields,
	};
}

function createDirectory() {
	const time = {now: 0};
	return {time, directory: new EndpointDirectory({clock: () => time.now})};
}

test('guards against late writes of older entries that replace newer ones', async t => {
	const cases: ReadonlyArray<readonly [title: string, later: Partial<EndpointListing>, isListed: boolean]> = [
		['a heartbeat from before the drain', {sequence: 4}, false],
		['an entry of an earlier start', {startedAt: 50, sequence: 90}, false],
		['a new start under the same id', {startedAt: 200, sequence: 1}, true],
		['a newer heartbeat without a draining notice', {sequence: 6}, true],
	];
	for (const [title, later, isListed] of cases) {
		const {directory} = createDirectory();
		directory.update([buildListing()]);
		t.equal(directory.list('s').length, 1);
		directory.update([buildListing({isDraining: true})]);
		t.equal(directory.list('s').length, 0);
		directory.update([buildListing(later)]);
		t.equal(directory.list('s').length, isListed ? 1 : 0, title);
	}
});

test('an endpoint whose entry is removed is removed at once while the registry is stable', async t => {
	const {directory} = createDirectory();
	directory.update([buildListing(), buildListing({id: 'e2'})]);
	t.match(directory.update([buildListing()]), [{kind: 'removed', endpoint: {id: 'e2'}}]);
	t.equal(directory.list('s').length, 1);
});

test('guards against the loss of endpoints whose entries expired in an outage of the registry', async t => {
	const {directory, time} = createDirectory();
	directory.update([buildListing(), buildListing({id: 'e2'}), buildListing({id: 'e3', isDraining: true})]);
	directory.handleOutageEnd();
	t.match(directory.update([]).map(({kind}) => kind).sort(), ['missing', 'missing', 'removed']);
	t.equal(directory.list('s').length, 2, 'expired entries are kept during the grace period');
	time.now = 1000;
	t.match(directory.update([buildListing({sequence: 6})]).map(({kind}) => kind), ['returned']);
	t.equal(directory.list('s').length, 2);
	time.now = 1600;
	t.match(directory.update([buildListing({sequence: 7})]), [{kind: 'removed', endpoint: {id: 'e2'}}]);
});
