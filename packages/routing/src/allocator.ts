import {err, ok} from 'neverthrow';
import {WorkKind, type ServiceConfiguration, type WorkClass} from '@tanagerrail/configuration';
import type {ProbeTargets} from '@tanagerrail/measuring';
import {createFailure, type Failure} from '@tanagerrail/results';
import {
	checkInvariant, createLogger, LogLevel, type Clock,
} from '@tanagerrail/telemetry';
import {
	createTicket, type AllocatedSlot, type AllocationRequest, type AllocationTicket, type EndpointStatus, type AdoptedSlot,
} from './allocation.js';
import {AttemptOutcome} from './attempt-outcome.js';
import {EndpointPool, type ListedEndpoint} from './endpoint-pool.js';
import {EndpointState, type Endpoint} from './endpoint.js';
import {LeaseTracker} from './lease-tracker.js';
import {ProbePlanner} from './probe-planner.js';
import {Quarantine} from './quarantine.js';
import {computeQuota, type QuotaInput} from './compute-quota.js';
import type {SlotRelease} from './slot-source.js';
import {WaitEstimator} from './wait-estimator.js';
import {WorkQueue} from './work-queue.js';

const logger = createLogger('routing');

/** Options of {@link Allocator}. */
export type AllocatorOptions = {
	readonly service: ServiceConfiguration;
	readonly clock: Clock;
	/** Returns a random number between 0 and 1. */
	readonly random: () => number;
	/** Called when a host must return its leased slots, because requests wait or a leased slot's endpoint is not healthy. */
	readonly onRecall: (hostId: string) => void;
	/** Called when an endpoint announces that it is draining, so that a successor of this allocator can be informed. */
	readonly onDrain: (endpointId: string) => void;
	/** Called when a request has crashed an endpoint. */
	readonly onCrash: (fingerprint: string) => void;
};

/** Defaults of {@link AllocatorOptions}. */
export const defaultAllocatorOptions = {
	random: Math.random,
	onRecall: () => undefined,
	onDrain: () => undefined,
	onCrash: () => undefined,
};

/** A slot in use, the ticket it was granted for, and the monotonic time of the grant in milliseconds. */
type Grant = {readonly endpoint: Endpoint; readonly ticket: AllocationTicket; readonly grantedAt: number};

/**
 * Grants the slots of all endpoints of one service. Requests wait in queues of the service, not of an endpoint; the
 * endpoint is chosen only when a slot is free.
 */
export class Allocator {
	/** Requests that crashed endpoints of this service. */
	readonly quarantine: Quarantine;
	readonly #options: AllocatorOptions;
	readonly #endpoints: EndpointPool;
	readonly #shortQueue = new WorkQueue<AllocationTicket>();
	readonly #longQueue = new WorkQueue<AllocationTicket>();
	readonly #grants = new Map<string, Grant>();
	readonly #leases: LeaseTracker;
	readonly #estimator: WaitEstimator;
	readonly #probePlanner: ProbePlanner;
	// Hosts re-register their grants with the next allocator, so ids must differ between allocators.
	readonly #grantPrefix: string;
	#service: ServiceConfiguration;
	#quotaInput: QuotaInput = {
		isFirstRank: true, listed: 1, connected: 1, moved: 0,
	};

	#reservedSlots = 0;
	#longSlotsInUse = 0;
	#nextGrantNumber = 1;

	constructor(options: Partial<AllocatorOptions> & Pick<AllocatorOptions, 'service' | 'clock'>) {
		this.#options = {...defaultAllocatorOptions, ...options};
		const {service, clock, random, onRecall, onDrain} = this.#options;
		this.#service = service;
		this.#endpoints = new EndpointPool({slotsPerEndpoint: service.slotsPerEndpoint, random});
		this.quarantine = new Quarantine({clock});
		this.#leases = new LeaseTracker({onRecall});
		this.#estimator = new WaitEstimator(service);
		this.#probePlanner = new ProbePlanner({
			endpoints: this.#endpoints, clock, onDrain, isActive: () => this.#quotaInput.isFirstRank,
		});
		this.#grantPrefix = random().toString(36).slice(2, 8);
	}

	/** Chooses the endpoints whose load reports are fetched. */
	get probeTargets(): ProbeTargets {
		return this.#probePlanner;
	}

	/** Slots of all endpoints that take new work. */
	get slots(): number {
		return this.#endpoints.slots;
	}

	/** Number of waiting requests. */
	get waiting(): number {
		return this.#shortQueue.length + this.#longQueue.length;
	}

	/** Slots that requests use now. */
	get inUse(): number {
		return this.#grants.size;
	}

	/** Slots that hosts keep for their next request. */
	get leased(): number {
		return this.#leases.size;
	}

	/** Number of slots that may be granted or leased at the same time. */
	get quota(): number {
		return Math.max(0, computeQuota(this.#endpoints.slots, this.#quotaInput) - this.#reservedSlots);
	}

	/**
	 * Updates the endpoints from the host list.
	 *
	 * @param listed - The endpoints of this service.
	 */
	updateEndpoints(listed: readonly ListedEndpoint[]): void {
		this.#endpoints.update(listed);
		this.#grantWaiting();
	}

	/**
	 * Applies a new configuration. Waiting requests and slots in use are kept.
	 *
	 * @param service - The service's new configuration.
	 */
	updateService(service: ServiceConfiguration): void {
		this.#service = service;
		this.#endpoints.updateSlots(service.slotsPerEndpoint);
		this.#grantWaiting();
	}

	/**
	 * Sets the inputs of the quota.
	 *
	 * @param input - Rank of this host and number of hosts that use the service.
	 * @param reservedSlots - Slots held back for hosts that have not connected yet and may still hold slots.
	 */
	setQuotaInput(input: QuotaInput, reservedSlots = 0): void {
		this.#quotaInput = input;
		this.#reservedSlots = reservedSlots;
		this.#grantWaiting();
	}

	/**
	 * Requests a slot. `onSettled` is called with the slot or with one of the failures `queue-full`, `deadline-exceeded`,
	 * `quarantined`, `no-endpoint`, `no-free-slot` and `slot-cancelled`.
	 *
	 * @param allocation - The host and its request.
	 * @returns The ticket, with which the request can be cancelled.
	 */
	acquire(allocation: AllocationRequest): AllocationTicket {
		const ticket = createTicket(allocation, this.#service, this.#options.clock());
		const refusal = this.#checkAdmission(ticket);
		if (refusal) {
			ticket.onSettled(err(refusal));
			return ticket;
		}

		const queue = this.#getQueue(ticket.workClass);
		queue.enqueue(ticket);
		this.#grantWaiting();
		if (ticket.request.isImmediate && queue.remove(ticket)) {
			ticket.onSettled(err(createFailure('no-free-slot', {service: this.#service.name})));
		}

		return ticket;
	}

	/**
	 * Cancels a waiting request; has no effect on a request that no longer waits.
	 *
	 * @param ticket - The ticket of the request.
	 */
	cancel(ticket: AllocationTicket): void {
		if (this.#getQueue(ticket.workClass).remove(ticket)) {
			ticket.onSettled(err(createFailure('slot-cancelled')));
		}
	}

	/**
	 * Releases a slot.
	 *
	 * @param grantId - Id of the grant. For an unknown one, for example of a host whose connection was lost, only a crash is
	 * recorded.
	 * @param release - How the attempt ended.
	 */
	release(grantId: string, release: SlotRelease): void {
		const grant = this.#grants.get(grantId);
		if (!grant) {
			this.#recordCrash(release.crashed);
			return;
		}

		const now = this.#options.clock();
		this.#grants.delete(grantId);
		this.#longSlotsInUse -= grant.ticket.workClass.kind === WorkKind.long ? 1 : 0;
		this.#recordRelease(grant, release, now);
		grant.endpoint.release(grantId, release, now);
		this.#grantWaiting();
	}

	/**
	 * Releases a slot and, if enough slots are free, leases one to the host.
	 *
	 * @param grantId - Id of the grant.
	 * @param release - How the attempt ended.
	 * @returns The leased slot, if any, which the host keeps for its next request.
	 */
	releaseOrLease(grantId: string, release: SlotRelease): AllocatedSlot | undefined {
		const grant = this.#grants.get(grantId);
		this.release(grantId, release);
		return grant && this.#createLease(grant, release);
	}

	/**
	 * Registers a slot that a host uses without a new request to this allocator: a leased one, or one that another
	 * allocator granted.
	 *
	 * @param grantId - Id with which the host will release the slot.
	 * @param slot - The host, the endpoint and the request.
	 */
	adopt(grantId: string, {endpointId, ...use}: AdoptedSlot): void {
		this.#leases.remove(grantId);
		const endpoint = this.#endpoints.get(endpointId);
		if (!endpoint || this.#grants.has(grantId)) {
			return;
		}

		this.#addGrant(grantId, createTicket({...use, onSettled: () => undefined}, this.#service, this.#options.clock()), endpoint);
	}

	/**
	 * Releases a leased slot.
	 *
	 * @param grantId - Id of the lease.
	 */
	releaseLease(grantId: string): void {
		this.#leases.remove(grantId);
		this.#grantWaiting();
	}

	/**
	 * Releases all slots of a lost host and drops its waiting requests.
	 *
	 * @param hostId - Id of the host.
	 */
	removeHost(hostId: string): void {
		for (const queue of [this.#shortQueue, this.#longQueue]) {
			queue.drop(ticket => ticket.hostId === hostId);
		}

		this.#leases.removeHost(hostId);
		for (const [grantId, {ticket}] of this.#grants) {
			if (ticket.hostId === hostId) {
				this.release(grantId, {outcome: AttemptOutcome.cancelled, milliseconds: 0, isDraining: false});
			}
		}

		this.#grantWaiting();
	}

	/** Refuses requests that can no longer meet their deadline and recalls leases of unhealthy endpoints; called by a timer. */
	expire(): void {
		// Requests on leased slots skip the choice of an endpoint and with it the check of its state.
		this.#leases.recall(({state}) => state !== EndpointState.healthy);
		const now = this.#options.clock();
		for (const queue of [this.#shortQueue, this.#longQueue]) {
			for (const ticket of queue.drop(({deadline, workClass}) => deadline - now < workClass.usualMilliseconds)) {
				ticket.onSettled(err(createFailure('deadline-exceeded')));
			}
		}

		this.#grantWaiting();
	}

	/**
	 * Stops new work on an endpoint.
	 *
	 * @param endpointId - Id of the endpoint.
	 * @param reason - Source of the draining notice, for operators.
	 */
	drainEndpoint(endpointId: string, reason: string): void {
		this.#endpoints.get(endpointId)?.drain(reason);
	}

	/**
	 * Describes the endpoints for operators.
	 *
	 * @returns State, reason and slots of each endpoint.
	 */
	describe(): EndpointStatus[] {
		return this.#endpoints.describe();
	}

	/**
	 * Computes how long a new request would wait.
	 *
	 * @param waiter - Work class and deadline of the request.
	 * @returns Expected wait in milliseconds.
	 */
	computeExpectedWait(waiter: Pick<AllocationTicket, 'workClass' | 'deadline'>): number {
		const {workClass} = waiter;
		const ahead = this.#getQueue(workClass).countAhead(waiter);
		if (workClass.kind === WorkKind.long) {
			return this.#estimator.compute(workClass, {ahead, slots: this.#longSlotLimit, isFree: this.#longSlotsInUse < this.#longSlotLimit && ahead === 0});
		}

		const isFree = ahead === 0 && this.#grants.size < this.quota && (this.#endpoints.hasFreeSlot || this.#leases.size > 0);
		return this.#estimator.compute(workClass, {ahead, slots: this.quota - this.#longSlotsInUse, isFree});
	}

	/** Slots that long work may hold; at least one, because long work of a small service would never run otherwise. */
	get #longSlotLimit(): number {
		return Math.max(1, Math.ceil(this.#service.longWorkShare * this.quota));
	}

	#getQueue({kind}: WorkClass): WorkQueue<AllocationTicket> {
		return kind === WorkKind.long ? this.#longQueue : this.#shortQueue;
	}

	/** Returns a failure if the request must be refused, for example because it would miss its deadline. */
	#checkAdmission(ticket: AllocationTicket): Failure | undefined {
		const {request, workClass} = ticket;
		const {name, maximumWaitFraction} = this.#service;
		if (this.quarantine.has(request.fingerprint)) {
			return this.quarantine.createFailure(request.fingerprint);
		}

		if (this.#endpoints.slots === 0) {
			return createFailure('no-endpoint', {service: name});
		}

		const wait = this.computeExpectedWait(ticket);
		const maximumWait = Math.min(request.remainingMilliseconds - workClass.usualMilliseconds, maximumWaitFraction * request.remainingMilliseconds);
		if (wait > maximumWait) {
			return createFailure('queue-full', {service: name, wait: Math.round(wait)});
		}

		return undefined;
	}

	#grantWaiting(): void {
		const {quota} = this;
		while (this.waiting > 0 && this.#grants.size + this.#leases.size < quota && this.#endpoints.hasFreeSlot) {
			// Long work below its limit goes first, so that it always gets its configured share of the slots.
			const hasGranted = (this.#longSlotsInUse < this.#longSlotLimit && this.#grantFrom(this.#longQueue)) || this.#grantFrom(this.#shortQueue);
			if (!hasGranted) {
				break;
			}
		}

		if (this.waiting > 0) {
			this.#leases.recall();
		}
	}

	#grantFrom(queue: WorkQueue<AllocationTicket>): boolean {
		let endpoint: Endpoint | undefined;
		const ticket = queue.take(candidate => {
			if (this.quarantine.isRunning(candidate.request.fingerprint)) {
				return false;
			}

			endpoint = this.#endpoints.choose({
				excluded: candidate.request.excluded,
				failureDomain: candidate.failureDomain,
				getExpectedWait: () => this.computeExpectedWait(candidate),
				workClass: candidate.workClass,
				now: this.#options.clock(),
			});
			return endpoint !== undefined;
		});
		if (!ticket || !endpoint) {
			return false;
		}

		this.#grant(ticket, endpoint);
		return true;
	}

	#grant(ticket: AllocationTicket, endpoint: Endpoint): void {
		const {fingerprint} = ticket.request;
		if (this.quarantine.has(fingerprint)) {
			ticket.onSettled(err(this.quarantine.createFailure(fingerprint)));
			return;
		}

		const grantId = this.#createGrantId();
		this.#addGrant(grantId, ticket, endpoint);
		const occupied = endpoint.inUse + endpoint.leased;
		checkInvariant(occupied <= endpoint.slots, 'endpoint-slots', () => `endpoint ${endpoint.id} has ${occupied} of ${endpoint.slots} slots in use`);
		ticket.onSettled(ok({grantId, endpointId: endpoint.id, address: endpoint.address}));
	}

	#addGrant(grantId: string, ticket: AllocationTicket, endpoint: Endpoint): void {
		const now = this.#options.clock();
		endpoint.take(grantId, ticket.workClass, now);
		this.#grants.set(grantId, {endpoint, ticket, grantedAt: now});
		this.#longSlotsInUse += ticket.workClass.kind === WorkKind.long ? 1 : 0;
		this.quarantine.start(ticket.request.fingerprint);
	}

	#createLease({endpoint, ticket: {hostId, workClass}}: Grant, {outcome}: SlotRelease): AllocatedSlot | undefined {
		const isUseful = outcome === AttemptOutcome.success && workClass.kind === WorkKind.short
			&& endpoint.state === EndpointState.healthy && endpoint.freeSlots > 0;
		const isAllowed = isUseful && this.waiting === 0 && this.#leases.isAllowed({
			hostId, quota: this.quota, inUse: this.#grants.size, hostCount: this.#quotaInput.listed,
		});
		if (!isAllowed) {
			return undefined;
		}

		const grantId = this.#createGrantId();
		this.#leases.add(grantId, {endpoint, hostId});
		return {grantId, endpointId: endpoint.id, address: endpoint.address};
	}

	#createGrantId(): string {
		return `${this.#grantPrefix}-${this.#nextGrantNumber++}`;
	}

	#recordRelease({endpoint, ticket, grantedAt}: Grant, {outcome, isDraining}: SlotRelease, now: number): void {
		const {fingerprint} = ticket.request;
		this.quarantine.end(fingerprint);
		if (isDraining) {
			this.#options.onDrain(endpoint.id);
		}

		this.#recordCrash(outcome === AttemptOutcome.crashed ? fingerprint : undefined);
		if (outcome === AttemptOutcome.success) {
			this.quarantine.release(fingerprint);
			this.#estimator.record(ticket.workClass, now - grantedAt);
		}
	}

	#recordCrash(fingerprint: string | undefined): void {
		if (fingerprint === undefined) {
			return;
		}

		this.quarantine.record(fingerprint);
		this.#options.onCrash(fingerprint);
		if (this.quarantine.has(fingerprint)) {
			logger.log(LogLevel.warn, 'request-quarantined', {service: this.#service.name, fingerprint});
		}
	}
}
