import {err, ok} from 'neverthrow';
import {WorkKind, type ServiceConfiguration, type WorkClass} from '@tanagerrail/configuration';
import type {ProbeTargets} from '@tanagerrail/measuring';
import {createFailure, type Failure} from '@tanagerrail/results';
import {
	checkInvariant, createLogger, LogLevel, type Clock,
} from '@tanagerrail/telemetry';
import {
	createTicket, type AllocatedSlot, type AllocationRequest, type AllocationTicket, type EndpointStatus, type HeldSlotUse,
} from './allocation.js';
import {AttemptOutcome} from './attempt-outcome.js';
import {EndpointPool, type ListedEndpoint} from './endpoint-pool.js';
import {EndpointState, type Endpoint} from './endpoint.js';
import {LeaseBook} from './lease-book.js';
import {ProbePlanner} from './probe-planner.js';
import {Quarantine} from './quarantine.js';
import {computeQuota, type SlotShare} from './slot-share.js';
import type {SlotRelease} from './slot-source.js';
import {WaitEstimator} from './wait-estimator.js';
import {WorkQueue} from './work-queue.js';

const logger = createLogger('routing');

/** Options of {@link Allocator}. */
export type AllocatorOptions = {
	readonly service: ServiceConfiguration;
	readonly clock: Clock;
	/** Random numbers between 0 and 1. */
	readonly random: () => number;
	/** Called when requests wait while a host keeps leased slots. */
	readonly onRecall: (hostId: string) => void;
	/** Called when an endpoint announces that it is leaving, so that the next allocator learns it too. */
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

type Grant = {readonly endpoint: Endpoint; readonly ticket: AllocationTicket; readonly grantedAt: number};

/** Hands out the slots of one service from one late-binding queue. */
export class Allocator {
	/** Requests that have crashed endpoints of this service. */
	readonly quarantine: Quarantine;
	readonly #options: AllocatorOptions;
	readonly #endpoints: EndpointPool;
	readonly #short = new WorkQueue<AllocationTicket>();
	readonly #long = new WorkQueue<AllocationTicket>();
	readonly #grants = new Map<string, Grant>();
	readonly #leases: LeaseBook;
	readonly #estimator: WaitEstimator;
	readonly #probePlanner: ProbePlanner;
	// Hosts carry grants over to the next allocator, so ids must differ between allocators.
	readonly #grantPrefix: string;
	#service: ServiceConfiguration;
	#share: SlotShare = {
		isFirstRank: true, listed: 1, connected: 1, moved: 0,
	};

	#reserved = 0;
	#longInUse = 0;
	#nextGrant = 1;

	constructor(options: Partial<AllocatorOptions> & Pick<AllocatorOptions, 'service' | 'clock'>) {
		this.#options = {...defaultAllocatorOptions, ...options};
		const {service, clock, random, onRecall, onDrain} = this.#options;
		this.#service = service;
		this.#endpoints = new EndpointPool({slotsPerEndpoint: service.slotsPerEndpoint, random});
		this.quarantine = new Quarantine({clock});
		this.#leases = new LeaseBook({onRecall});
		this.#estimator = new WaitEstimator(service);
		this.#probePlanner = new ProbePlanner({
			endpoints: this.#endpoints, clock, onDrain, isActive: () => this.#share.isFirstRank,
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

	get waiting(): number {
		return this.#short.length + this.#long.length;
	}

	get inUse(): number {
		return this.#grants.size;
	}

	/** Slots that hosts keep for their next request. */
	get leased(): number {
		return this.#leases.size;
	}

	/** Slots this allocator may hand out now. */
	get quota(): number {
		return Math.max(0, computeQuota(this.#endpoints.slots, this.#share) - this.#reserved);
	}

	/**
	 * Takes over the endpoints of the host list.
	 *
	 * @param listed - The endpoints of this service.
	 */
	updateEndpoints(listed: readonly ListedEndpoint[]): void {
		this.#endpoints.update(listed);
		this.#grantWaiting();
	}

	/**
	 * Applies a new configuration; waits and slots in use stay.
	 *
	 * @param service - The service's new configuration.
	 */
	updateService(service: ServiceConfiguration): void {
		this.#service = service;
		this.#endpoints.updateSlots(service.slotsPerEndpoint);
		this.#grantWaiting();
	}

	/**
	 * Sets which hosts share the service.
	 *
	 * @param share - The hosts.
	 * @param reserved - Slots held back for hosts that may hold slots and have not connected yet.
	 */
	setShare(share: SlotShare, reserved = 0): void {
		this.#share = share;
		this.#reserved = reserved;
		this.#grantWaiting();
	}

	/**
	 * Asks for a slot. `onSettled` gets the slot, or `queue-full`, `deadline-exceeded`, `quarantined`, `no-endpoint`,
	 * `no-free-slot` or `slot-cancelled`.
	 *
	 * @param allocation - The host and its request.
	 * @returns The ticket of the wait.
	 */
	acquire(allocation: AllocationRequest): AllocationTicket {
		const ticket = createTicket(allocation, this.#service, this.#options.clock());
		const refusal = this.#findRefusal(ticket);
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
	 * Ends a wait; nothing happens when it is over.
	 *
	 * @param ticket - The ticket of the wait.
	 */
	cancel(ticket: AllocationTicket): void {
		if (this.#getQueue(ticket.workClass).remove(ticket)) {
			ticket.onSettled(err(createFailure('slot-cancelled')));
		}
	}

	/**
	 * Gives a slot back.
	 *
	 * @param grantId - Id of the grant; an unknown one is ignored, because a lost host's grants are taken back.
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
		this.#longInUse -= grant.ticket.workClass.kind === WorkKind.long ? 1 : 0;
		this.#observe(grant, release, now);
		grant.endpoint.release(grantId, release, now);
		this.#grantWaiting();
	}

	/**
	 * Gives a slot back, or leaves one with the host when there are enough.
	 *
	 * @param grantId - Id of the grant.
	 * @param release - How the attempt ended.
	 * @returns A slot that the host may keep for its next request.
	 */
	releaseOrLease(grantId: string, release: SlotRelease): AllocatedSlot | undefined {
		const grant = this.#grants.get(grantId);
		this.release(grantId, release);
		return grant && this.#offerLease(grant, release);
	}

	/**
	 * Counts a slot that a host uses without having asked for it: it was leased, or another allocator gave it.
	 *
	 * @param grantId - Id under which the host will give it back.
	 * @param held - The host, the endpoint and the request.
	 */
	adopt(grantId: string, {endpointId, ...held}: HeldSlotUse): void {
		this.#leases.remove(grantId);
		const endpoint = this.#endpoints.get(endpointId);
		if (!endpoint || this.#grants.has(grantId)) {
			return;
		}

		this.#addGrant(grantId, createTicket({...held, onSettled: () => undefined}, this.#service, this.#options.clock()), endpoint);
	}

	/**
	 * Takes a leased slot back.
	 *
	 * @param grantId - Id of the lease.
	 */
	releaseLease(grantId: string): void {
		this.#leases.remove(grantId);
		this.#grantWaiting();
	}

	/**
	 * Takes back all slots of a host that is gone and ends its waits.
	 *
	 * @param hostId - Id of the host.
	 */
	removeHost(hostId: string): void {
		for (const queue of [this.#short, this.#long]) {
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

	/** Refuses the requests whose deadline cannot be met any more and takes leases of unfit endpoints back; called by a timer. */
	expire(): void {
		// Leased slots bypass the choice of the endpoint, so they must not outlast its health.
		this.#leases.recall(({state}) => state !== EndpointState.healthy);
		const now = this.#options.clock();
		for (const queue of [this.#short, this.#long]) {
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
	 * @param reason - Where the notice came from.
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
	 * Computes how long a request would wait now.
	 *
	 * @param waiter - Work class and deadline of the request.
	 * @returns Expected wait in milliseconds.
	 */
	computeExpectedWait(waiter: Pick<AllocationTicket, 'workClass' | 'deadline'>): number {
		const {workClass} = waiter;
		const ahead = this.#getQueue(workClass).countAhead(waiter);
		if (workClass.kind === WorkKind.long) {
			return this.#estimator.compute(workClass, {ahead, slots: this.#longLimit, isFree: this.#longInUse < this.#longLimit && ahead === 0});
		}

		const isFree = ahead === 0 && this.#grants.size < this.quota && (this.#endpoints.hasFreeSlot || this.#leases.size > 0);
		return this.#estimator.compute(workClass, {ahead, slots: this.quota - this.#longInUse, isFree});
	}

	/** Slots that long work may hold; at least one, or long work of a small service would never run. */
	get #longLimit(): number {
		return Math.max(1, Math.ceil(this.#service.longWorkShare * this.quota));
	}

	#getQueue({kind}: WorkClass): WorkQueue<AllocationTicket> {
		return kind === WorkKind.long ? this.#long : this.#short;
	}

	#findRefusal(ticket: AllocationTicket): Failure | undefined {
		const {request, workClass} = ticket;
		const {name, maximumWaitFraction} = this.#service;
		if (this.quarantine.has(request.fingerprint)) {
			return this.quarantine.createFailure(request.fingerprint);
		}

		if (this.#endpoints.slots === 0) {
			return createFailure('no-endpoint', {service: name});
		}

		const wait = this.computeExpectedWait(ticket);
		const longestWait = Math.min(request.remainingMilliseconds - workClass.usualMilliseconds, maximumWaitFraction * request.remainingMilliseconds);
		if (wait > longestWait) {
			return createFailure('queue-full', {service: name, wait: Math.round(wait)});
		}

		return undefined;
	}

	#grantWaiting(): void {
		const {quota} = this;
		while (this.waiting > 0 && this.#grants.size + this.#leases.size < quota && this.#endpoints.hasFreeSlot) {
			// Long work below its share goes first, so that it always gets the share that was declared for it.
			const hasGranted = (this.#longInUse < this.#longLimit && this.#grantFrom(this.#long)) || this.#grantFrom(this.#short);
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
		const taken = endpoint.inUse + endpoint.leased;
		checkInvariant(taken <= endpoint.slots, 'endpoint-slots', () => `endpoint ${endpoint.id} has ${taken} of ${endpoint.slots} slots in use`);
		ticket.onSettled(ok({grantId, endpointId: endpoint.id, address: endpoint.address}));
	}

	#addGrant(grantId: string, ticket: AllocationTicket, endpoint: Endpoint): void {
		const now = this.#options.clock();
		endpoint.take(grantId, ticket.workClass, now);
		this.#grants.set(grantId, {endpoint, ticket, grantedAt: now});
		this.#longInUse += ticket.workClass.kind === WorkKind.long ? 1 : 0;
		this.quarantine.start(ticket.request.fingerprint);
	}

	#offerLease({endpoint, ticket: {hostId, workClass}}: Grant, {outcome}: SlotRelease): AllocatedSlot | undefined {
		const isUseful = outcome === AttemptOutcome.success && workClass.kind === WorkKind.short
			&& endpoint.state === EndpointState.healthy && endpoint.freeSlots > 0;
		const isAllowed = isUseful && this.waiting === 0 && this.#leases.isAllowed({
			hostId, quota: this.quota, inUse: this.#grants.size, hosts: this.#share.listed,
		});
		if (!isAllowed) {
			return undefined;
		}

		const grantId = this.#createGrantId();
		this.#leases.add(grantId, {endpoint, hostId});
		return {grantId, endpointId: endpoint.id, address: endpoint.address};
	}

	#createGrantId(): string {
		return `${this.#grantPrefix}-${this.#nextGrant++}`;
	}

	#observe({endpoint, ticket, grantedAt}: Grant, {outcome, isDraining}: SlotRelease, now: number): void {
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
