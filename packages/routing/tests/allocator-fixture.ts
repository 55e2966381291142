import type {Result} from 'neverthrow';
import type {ServiceConfiguration, WorkClass} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';
import type {AllocatedSlot, AllocationTicket} from '../src/allocation.js';
import {Allocator, type AllocatorOptions} from '../src/allocator.js';
import type {AttemptOutcome} from '../src/attempt-outcome.js';
import type {SlotRequest} from '../src/slot-source.js';

const status: WorkClass = {
	name: 'status', kind: 'short', priority: 'interactive', usualMilliseconds: 10, longestMilliseconds: 100, deadlineMilliseconds: 1000, hedge: true,
};

/** A service with a short class, a short batch class and a long class. */
export const service: ServiceConfiguration = {
	name: 'claim-status',
	slotsPerEndpoint: 3,
	connectionsPerEndpoint: 200,
	workClasses: [
		status,
		{...status, name: 'letters', priority: 'batch'},
		{
			...status, name: 'reconciliation', kind: 'long', priority: 'batch', usualMilliseconds: 1000, longestMilliseconds: 10_000, deadlineMilliseconds: 60_000,
		},
	],
	routes: [],
	longWorkShare: 0.34,
	maximumWaitFraction: 0.5,
	retryBudget: 0.1,
	hedgeBudget: 0.02,
	missingKey: 'refuse',
	outcomeDays: 30,
	loadPath: '/-/load',
	serviceLevels: [],
};

/** An allocator with a clock that the test sets. */
export class AllocatorFixture {
	now = 0;
	readonly allocator: Allocator;
	readonly settled: Array<{hostId: string; result: Result<AllocatedSlot, Failure>}> = [];

	constructor({endpoints = 1, ...options}: Partial<AllocatorOptions> & {endpoints?: number} = {}) {
		this.allocator = new Allocator({
			service, clock: () => this.now, random: () => 0.5, ...options,
		});
		this.list(endpoints);
	}

	/** Lists endpoints `e0`, `e1`, ... */
	list(endpoints: number): void {
		this.allocator.updateEndpoints(Array.from({length: endpoints}, (_, index) => ({
			id: `e${index}`, address: `127.0.0.1:${9000 + index}`, failureDomain: 'a', isLeaving: false,
		})));
	}

	acquire(request: Partial<SlotRequest> = {}, hostId = 'h0'): AllocationTicket {
		const workClass = request.workClass ?? 'status';
		return this.allocator.acquire({
			hostId,
			failureDomain: 'a',
			request: {
				service: service.name,
				workClass,
				kind: workClass === 'reconciliation' ? 'long' : 'short',
				remainingMilliseconds: 1000,
				fingerprint: 'f',
				excluded: [],
				isImmediate: false,
				...request,
			},
			onSettled: result => {
				this.settled.push({hostId, result});
			},
		});
	}

	/** Returns the grant of the n-th settled request. */
	getGrant(index: number): AllocatedSlot {
		return this.settled[index]!.result._unsafeUnwrap();
	}

	/** Returns the result code of the n-th settled request. */
	getRefusal(index: number): string {
		return this.settled[index]!.result._unsafeUnwrapErr().id;
	}

	release(grantId: string, outcome: AttemptOutcome = 'success', milliseconds = 10): void {
		this.allocator.release(grantId, {outcome, milliseconds, isDraining: false});
	}
}
