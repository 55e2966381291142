import {setTimeout as wait} from 'node:timers/promises';
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import {createFailure} from '@tanagerrail/results';
import {readMonotonicClock} from '@tanagerrail/telemetry';
import {EndpointFollower} from '../src/endpoint-follower.js';

async function observeOutage(changesDuringOutage: number) {
	const seen: string[] = [];
	const state = {version: 0, isDown: false};
	const follower = new EndpointFollower<string>({
		source: {
			listEndpoints() {
				state.version += 5;
				return state.isDown
					? errAsync(createFailure('table-unavailable', {reason: 'test'}))
					: okAsync({endpoints: ['e'], unreadable: 0, version: state.version});
			},
		},
		clock: readMonotonicClock,
		onListing() {
			seen.push('listing');
		},
		onOutage: () => seen.push('outage'),
		onOutageEnd: wasAway => seen.push(wasAway ? 'away' : 'cut'),
		intervalMilliseconds: 10,
		retryMilliseconds: 10,
		maximumRetryMilliseconds: 20,
	});
	const controller = new AbortController();
	const running = follower.run(controller.signal);
	await wait(150);
	state.isDown = true;
	const before = state.version;
	await wait(300);
	state.version = before + changesDuringOutage;
	state.isDown = false;
	await wait(100);
	controller.abort();
	await running;
	return seen.filter(event => event !== 'listing');
}

test('guards against endpoints that are kept though the registry has removed them while this host was cut off', async t => {
	t.same(await observeOutage(200), ['outage', 'cut']);
});

test('an outage of the registry itself is told from a cut, because nothing changes in it', async t => {
	t.same(await observeOutage(2), ['outage', 'away']);
});
