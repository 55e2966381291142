import {test} from 'tap';
import {defaultServiceConfiguration, type ServiceConfiguration, type WorkClass} from '@tanagerrail/configuration';
import type {AllocatedSlot} from '../src/allocation.js';
import {Allocator} from '../src/allocator.js';
import {AttemptOutcome} from '../src/attempt-outcome.js';

const workClass: WorkClass = {
	name: 'read', kind: 'short', priority: 'normal', usualMilliseconds: 10, longestMilliseconds: 100, deadlineMilliseconds: 1000, hedge: false,
};
const service: ServiceConfiguration = {
	...defaultServiceConfiguration, name: 'files', slotsPerEndpoint: 2, workClasses: [workClass], routes: [], longWorkShare: 0.5, maximumWaitFraction: 1,
};

function createAllocator() {
	const allocator = new Allocator({service, clock: () => 0, random: () => 0.5});
	allocator.updateEndpoints([{
		id: 'a', address: '127.0.0.1:1', failureDomain: 'fd-0', isLeaving: false,
	}]);
	const granted: AllocatedSlot[] = [];
	const acquire = () => {
		allocator.acquire({
			hostId: 'h', failureDomain: 'fd-0', request: {
				service: 'files', workClass: 'read', kind: 'short', fingerprint: 'f', excluded: [], remainingMilliseconds: 1000, isImmediate: false,
			}, onSettled(result) {
				granted.push(result._unsafeUnwrap());
			},
		});
	};

	return {allocator, granted, acquire};
}

test('more slots serve waiting requests at once and lose no slot in use', async t => {
	const {allocator, granted, acquire} = createAllocator();
	for (let i = 0; i < 4; i++) {
		acquire();
	}

	t.strictSame([granted.length, allocator.inUse, allocator.waiting], [2, 2, 2]);
	allocator.updateService({...service, slotsPerEndpoint: 3});
	t.strictSame([granted.length, allocator.inUse, allocator.waiting], [3, 3, 1]);
});

test('fewer slots keep the requests in use and grant no slot above the new number', async t => {
	const {allocator, granted, acquire} = createAllocator();
	for (let i = 0; i < 3; i++) {
		acquire();
	}

	allocator.updateService({...service, slotsPerEndpoint: 1});
	t.strictSame([allocator.inUse, allocator.waiting], [2, 1], 'nothing is dropped');
	const release = {outcome: AttemptOutcome.success, milliseconds: 1, isDraining: false};
	allocator.release(granted[0]!.grantId, release);
	t.equal(granted.length, 2, 'the endpoint is still full');
	allocator.release(granted[1]!.grantId, release);
	t.equal(granted.length, 3);
});
