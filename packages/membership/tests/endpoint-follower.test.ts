import {setTimeout as wait} from 'node:timers/promises';
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import {createFailure} from '@tanagerrail/results';
import {readMonotonicClock} from '@tanagerrail/telemetry';
import {EndpointFollower} from '../src/endpoint-follower.js';

async function observeOutage(changesDuringOutage: number) {
	const events: string[] = [];
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
			events.push('listing');
		},
		onOutage: () => events.push('outage'),
		onOutageEnd: wasAway => events.push(wasAway ? 'away' : 'cut'),
		intervalMilliseconds: 10,
		retryMilliseconds: 10,
		maximumRetryMilliseconds: 20,
	});
	const controller = new AbortController();
	const running = follower.run(controller.signal);
	await wait(150);
	state.isDown = true;
	const versionBefore = state.version;
	await wait(300);
	state.version = versionBefore + changesDuringOutage;
	state.isDown = false;
	await wait(100);
	controller.abort();
	await running;
	return events.filter(event => event !== 'listing');
}

// Guards against keeping endpoints that the registry removed while this host was disconnected.
test('losing the connection to a registry that keeps changing is not treated as an outage of the registry', async t => {
	t.same(await observeOutage(200), ['outage', 'cut']);
});

test('an outage of the registry itself is recognized by the lack of changes', async t => {
	t.same(await observeOutage(2), ['outage', 'away']);
});
