import {err, ok, type Result} from 'neverthrow';
import {WorkKind, type ServiceConfiguration, type WorkClass} from '@tanagerrail/configuration';
import {createFailure, type Failure} from '@tanagerrail/results';
import {
	checkInvariant, createLogger, LogLevel, type Clock,
} from '@tanagerrail/telemetry';
import {AttemptOutcome} from './attempt-outcome.js';
import {EndpointPool, type ListedEndpoint} from './endpoint-pool.js';
import type {Endpoint, EndpointState} from './endpoint.js';
import {Quarantine} from './quarantine.js';
import {computeQuota, type SlotShare} from './slot-share.js';
import type {SlotRelease, SlotRequest} from './slot-source.js';
import {WorkQueue} from './work-queue.js';

const logger = createLogger('routing');

/** Options of {@link Allocator}. */
export type AllocatorOptions = {
	readonly service: ServiceConfiguration;
	readonly clock: Clock;
	readonly random: () => number;
};

/** A slot that the allocator gave to a host. */
export type AllocatedSlot = {
	readonly grantId: string;
	readonly endpointId: string;
	readonly address: string;
};

/** A request for a slot by one host. */
export type AllocationRequest = {
	readonly hostId: string;
	readonly failureDomain: string;
	readonly request: SlotRequest;
	/** Called once, at once or later. */
	readonly onSettled: (result: Result<AllocatedSlot, Failure>) => void;
};

/** A waiting request; it can be cancelled. */
export type AllocationTicket = AllocationRequest & {
	readonly workClass: WorkClass;
	readonly arrivedAt: number;
	readonly deadline: number;
};

/** State of one endpoint for operators. */
export type EndpointStatus = {
	readonly id: string;
	readonly state: EndpointState;
	readonly reason: string;
	readonly slots: number;
	readonly inUse: number;
};

type Grant = {readonly endpoint: Endpoint; readonly ticket: AllocationTicket; readonly grantedAt: number};

const holdTimeWeight = 0.05;

/** Hands out the slots of one service from one late-binding queue. */
export class Allocator {
	#options: AllocatorOptions;
	readonly #endpoints: EndpointPool;
	readonly #short = new WorkQueue<AllocationTicket>();
	readonly #long = new WorkQueue<AllocationTicket>();
	readonly #grants = new Map<string, Grant>();
	readonly #quarantine: Quarantine;
	readonly #suspects = new Set<string>();
	#share: SlotShare = {
		isFirstRank: true, listed: 1, connected: 1, moved: 0,
	};

	#reserved = 0;
	#longInUse = 0;
	#shortHoldTime: number;
	#nextGrant = 1;
	// Hosts carry grants over to the next allocator, so ids must differ between allocators.
	readonly #grantPrefix: string;

	constructor(options: AllocatorOptions) {
		this.#options = options;
		const {service, clock, random} = options;
		this.#endpoints = new EndpointPool({slotsPerEndpoint: service.slotsPerEndpoint, random});
		this.#quarantine = new Quarantine({clock});
		this.#grantPrefix = random().toString(36).slice(2, 8);
		const shortTimes = service.workClasses.filter(({kind}) => kind === WorkKind.short).map(({usualMilliseconds}) => usualMilliseconds);
		this.#shortHoldTime = Math.min(...shortTimes, Number.MAX_SAFE_INTEGER);
	}

	get quarantine(): Quarantine {
		return this.#quarantine;
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
	 * Takes over a new configuration of the service. Requests that wait or hold a slot keep the work class with which they
	 * came; an endpoint with more requests than new slots gets no further work until it has a free one.
	 *
	 * @param service - The service's new configuration.
	 */
	updateService(service: ServiceConfiguration): void {
		this.#options = {...this.#options, service};
		this.#endpoints.setSlots(service.slotsPerEndpoint);
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
		const {service} = this.#options;
		const ticket = this.#createTicket(allocation, this.#options.clock());
		const {workClass} = ticket;
		const refusal = this.#findRefusal(ticket);
		if (refusal) {
			ticket.onSettled(err(refusal));
			return ticket;
		}

		this.#getQueue(workClass).enqueue(ticket);
		this.#grantWaiting();
		if (ticket.request.isImmediate && this.#getQueue(workClass).remove(ticket)) {
			ticket.onSettled(err(createFailure('no-free-slot', {service: service.name})));
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
	 * Counts a slot that a host got from another allocator and still uses.
	 *
	 * @param grantId - Id under which the host will give it back.
	 * @param held - The host, the endpoint and the request.
	 */
	adopt(grantId: string, {endpointId, ...held}: Omit<AllocationRequest, 'onSettled'> & {readonly endpointId: string}): void {
		const endpoint = this.#endpoints.get(endpointId);
		if (!endpoint || this.#grants.has(grantId)) {
			return;
		}

		const now = this.#options.clock();
		const ticket = this.#createTicket({...held, onSettled() {/* The slot is in use already. */}}, now);
		endpoint.take(grantId, ticket.workClass, now);
		this.#grants.set(grantId, {endpoint, ticket, grantedAt: now});
		this.#longInUse += ticket.workClass.kind === WorkKind.long ? 1 : 0;
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

		for (const [grantId, {ticket}] of this.#grants) {
			if (ticket.hostId === hostId) {
				this.release(grantId, {outcome: AttemptOutcome.cancelled, milliseconds: 0, isDraining: false});
			}
		}
	}

	/** Refuses the requests whose deadline cannot be met any more; called by a timer. */
	expire(): void {
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
		return this.#endpoints.list().map(({id, state, reason, slots, inUse}) => ({
			id, state, reason, slots, inUse,
		}));
	}

	/**
	 * Computes how long a request would wait now.
	 *
	 * @param waiter - Work class and deadline of the request.
	 * @returns Expected wait in milliseconds: work ahead of it divided by the rate at which slots become free.
	 */
	computeExpectedWait(waiter: Pick<AllocationTicket, 'workClass' | 'deadline'>): number {
		if (waiter.workClass.kind === WorkKind.long) {
			const longSlots = Math.max(1, this.#longLimit);
			return this.#longInUse < longSlots ? 0 : (this.#long.countAhead(waiter) + 1) * waiter.workClass.usualMilliseconds / longSlots;
		}

		const shortSlots = Math.max(1, this.quota - this.#longInUse);
		const isFree = this.#grants.size < this.quota && this.#short.length === 0;
		return isFree ? 0 : (this.#short.countAhead(waiter) + 1) * this.#shortHoldTime / shortSlots;
	}

	get #longLimit(): number {
		return Math.ceil(this.#options.service.longWorkShare * this.quota);
	}

	#getQueue(workClass: WorkClass): WorkQueue<AllocationTicket> {
		return workClass.kind === WorkKind.long ? this.#long : this.#short;
	}

	#createTicket(allocation: AllocationRequest, now: number): AllocationTicket {
		const {workClasses} = this.#options.service;
		const workClass = workClasses.find(({name}) => name === allocation.request.workClass) ?? workClasses[0]!;
		return {
			...allocation, workClass, arrivedAt: now, deadline: now + allocation.request.remainingMilliseconds,
		};
	}

	#findRefusal(ticket: AllocationTicket): Failure | undefined {
		const {request, workClass} = ticket;
		const {name, maximumWaitFraction} = this.#options.service;
		if (this.#quarantine.has(request.fingerprint)) {
			return createFailure('quarantined', {crashes: this.#quarantine.countCrashes(request.fingerprint)});
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
		while (this.#grants.size < this.quota) {
			// Long work below its share goes first, so that it always gets the share that was declared for it.
			const hasGranted = (this.#longInUse < this.#longLimit && this.#grantFrom(this.#long)) || this.#grantFrom(this.#short);
			if (!hasGranted) {
				return;
			}
		}
	}

	#grantFrom(queue: WorkQueue<AllocationTicket>): boolean {
		const now = this.#options.clock();
		let endpoint: Endpoint | undefined;
		const ticket = queue.take(candidate => {
			if (this.#suspects.has(candidate.request.fingerprint)) {
				return false;
			}

			endpoint = this.#endpoints.choose({
				excluded: candidate.request.excluded,
				failureDomain: candidate.failureDomain,
				expectedWait: this.computeExpectedWait(candidate),
				workClass: candidate.workClass,
				now,
			});
			return endpoint !== undefined;
		});
		if (!ticket || !endpoint) {
			return false;
		}

		this.#grant(ticket, endpoint, now);
		return true;
	}

	#grant(ticket: AllocationTicket, endpoint: Endpoint, now: number): void {
		const {fingerprint} = ticket.request;
		if (this.#quarantine.has(fingerprint)) {
			ticket.onSettled(err(createFailure('quarantined', {crashes: this.#quarantine.countCrashes(fingerprint)})));
			return;
		}

		const grantId = `${this.#grantPrefix}-${this.#nextGrant++}`;
		endpoint.take(grantId, ticket.workClass, now);
		this.#grants.set(grantId, {endpoint, ticket, grantedAt: now});
		this.#longInUse += ticket.workClass.kind === WorkKind.long ? 1 : 0;
		if (this.#quarantine.countCrashes(fingerprint) > 0) {
			this.#suspects.add(fingerprint);
		}

		checkInvariant(endpoint.inUse <= endpoint.slots, 'endpoint-slots', () => `endpoint ${endpoint.id} has ${endpoint.inUse} of ${endpoint.slots} slots in use`);
		ticket.onSettled(ok({grantId, endpointId: endpoint.id, address: endpoint.address}));
	}

	#observe({ticket, grantedAt}: Grant, {outcome}: SlotRelease, now: number): void {
		const {fingerprint} = ticket.request;
		this.#suspects.delete(fingerprint);
		if (outcome === AttemptOutcome.crashed) {
			this.#quarantine.record(fingerprint);
			if (this.#quarantine.has(fingerprint)) {
				logger.log(LogLevel.warn, 'request-quarantined', {service: this.#options.service.name, fingerprint});
			}
		}

		if (outcome !== AttemptOutcome.success) {
			return;
		}

		this.#quarantine.release(fingerprint);
		if (ticket.workClass.kind === WorkKind.short) {
			this.#shortHoldTime += holdTimeWeight * (now - grantedAt - this.#shortHoldTime);
		}
	}
}
