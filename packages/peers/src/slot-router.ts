import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import type {HostDirectory} from '@tanagerrail/membership';
import {createFailure, type Failure} from '@tanagerrail/results';
import {WorkKind} from '@tanagerrail/configuration';
import {
	AttemptOutcome, createAllocatorSource, type CrashRecord, type SlotGrant, type SlotRelease, type SlotRequest, type SlotSource,
} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';
import type {AllocatorRegistry} from './allocator-registry.js';
import {NoticeCache} from './notice-cache.js';
import {LeasePool} from './lease-pool.js';
import {
	LinkState, type AllocatorNotice, type LinkGrant, type SlotLink,
} from './slot-link.js';
import {SlotLinks} from './slot-links.js';
import type {HelloMessage, HeldSlot} from './slot-messages.js';

/** Options of {@link SlotRouter}. */
export type SlotRouterOptions = {
	readonly hostId: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly directory: HostDirectory;
	readonly registry: AllocatorRegistry;
	readonly clock: Clock;
	readonly key: string;
	/** Returns the certificate authorities of peers as PEM; links use TLS when it is given. */
	readonly getAuthority?: () => string | undefined;
	/** Names of the configured services. */
	readonly getServices: () => readonly string[];
	readonly getRevision: () => number;
	readonly onRevision: (revision: number, hostId: string) => void;
	/** Checks whether the process was paused, before a grant is used. */
	readonly checkPause: () => void;
	/** Time allowed for opening a link before the next host in rank order is tried, in milliseconds. */
	readonly openTimeoutMilliseconds: number;
};

/** Defaults of {@link SlotRouterOptions}. */
export const defaultSlotRouterOptions = {openTimeoutMilliseconds: 250};

/** A slot in use, with the host whose allocator it is released to. */
type ActiveSlot = {allocatorHostId: string; readonly held: HeldSlot};

type NoticeHandlers = {readonly [T in AllocatorNotice['type']]: (notice: Extract<AllocatorNotice, {type: T}>, link: SlotLink) => void};

/**
 * Forwards slot requests to the allocator of the service. The allocator runs on the highest-ranked host of the service that can
 * be reached, which may be this one.
 */
export class SlotRouter implements SlotSource {
	readonly #options: SlotRouterOptions;
	readonly #links: SlotLinks;
	/** Slots in use that allocators on other hosts granted. */
	readonly #activeSlots = new Set<ActiveSlot>();
	/** Ids of the hosts whose allocators were used last, by service. */
	readonly #allocatorHosts = new Map<string, string>();
	readonly #leasePool = new LeasePool();
	readonly #noticeCache: NoticeCache;
	/** Incremented by each reset; grants of earlier epochs are invalid. */
	#epoch = 0;

	readonly #noticeHandlers: NoticeHandlers = {
		lease: ({service, grantId, endpointId, address}, link) => {
			this.#leasePool.add({
				grantId, endpointId, address, service, link,
			});
		},
		recall: ({service}, link) => {
			for (const {grantId} of this.#leasePool.remove(link, service)) {
				link.releaseLease(grantId, service);
			}
		},
		crashes: ({service, records}, link) => {
			this.#spreadCrashes(service, records, link);
			this.#options.registry.adoptCrashes(service, records);
		},
		drain: ({service, endpointId}) => {
			this.#noticeCache.recordDrain(service, endpointId);
		},
	};

	constructor(options: Partial<SlotRouterOptions> & Omit<SlotRouterOptions, keyof typeof defaultSlotRouterOptions>) {
		this.#options = {...defaultSlotRouterOptions, ...options};
		this.#links = new SlotLinks({
			...options,
			buildHello: () => this.#buildHello(),
			onNotice: (notice, from) => {
				this.#handleNotice(notice, from);
			},
			onClosed: from => {
				this.#leasePool.drop(from);
			},
		});
		const {clock, directory, registry} = options;
		this.#noticeCache = new NoticeCache({clock});
		directory.onChange(() => {
			this.#noticeCache.removeUnlisted(id => directory.has(id));
			this.#links.closeStale();
			this.connect();
		});
		registry.addListener({
			onCreate: (service, allocator) => {
				this.#noticeCache.apply(service, allocator);
			},
			onDrain: (service, endpointId) => {
				this.#noticeCache.recordDrain(service, endpointId);
			},
			onCrash: (service, record) => {
				this.#spreadCrashes(service, [record]);
			},
		});
	}

	/** The links to peers. */
	get links(): readonly SlotLink[] {
		return this.#links.list();
	}

	acquire(request: SlotRequest, signal?: AbortSignal): ResultAsync<SlotGrant, Failure> {
		return new ResultAsync(this.#acquire(request, signal));
	}

	/** Opens links to the allocators of all services in advance, so that requests do not wait for a connection. */
	connect(): void {
		const {directory, hostId, getServices} = this.#options;
		for (const service of getServices()) {
			const [first] = directory.rankEntryHosts(service);
			if (first !== undefined && first !== hostId) {
				this.#links.open(first);
			}
		}
	}

	/** Invalidates grants that are not yet in use and reconnects all links; called after the process was paused. */
	reset(): void {
		this.#epoch += 1;
		this.#leasePool.reset();
		this.#links.reset();
	}

	/** Closes all links. */
	close(): void {
		this.#links.close();
	}

	async #acquire(request: SlotRequest, signal?: AbortSignal): Promise<Result<SlotGrant, Failure>> {
		const {clock} = this.#options;
		const deadline = clock() + request.remainingMilliseconds;
		for (;;) {
			const remainingMilliseconds = deadline - clock();
			if (remainingMilliseconds <= 0) {
				return err(createFailure('deadline-exceeded'));
			}

			if (signal?.aborted) {
				return err(createFailure('slot-cancelled'));
			}

			const result = await this.#acquireOnce({...request, remainingMilliseconds}, signal);
			// The link closed before the allocator responded, so the next attempt uses the first host in rank order that can be reached.
			if (result.isOk() || result.error.id !== 'allocator-lost') {
				return result;
			}
		}
	}

	async #acquireOnce(request: SlotRequest, signal?: AbortSignal): Promise<Result<SlotGrant, Failure>> {
		const link = await this.#findLink(request.service);
		if (!link) {
			return this.#acquireLocally(request, signal);
		}

		const epoch = this.#epoch;
		const lease = this.#takeLease(request, link);
		if (lease) {
			link.adopt({grantId: lease.grantId, endpointId: lease.endpointId, request});
			return ok(this.#createGrant(link, lease, {request, epoch}));
		}

		const granted = await link.acquire(request, signal);
		return granted.map(grant => this.#createGrant(link, grant, {request, epoch}));
	}

	#takeLease(request: SlotRequest, link: SlotLink): LinkGrant | undefined {
		if (request.kind !== WorkKind.short || this.#noticeCache.hasCrashed(request.service, request.fingerprint)) {
			return undefined;
		}

		this.#options.checkPause();
		return this.#leasePool.take(request, lease => lease.link === link && link.isLeaseFresh && !this.#noticeCache.isDraining(request.service, lease.endpointId));
	}

	async #acquireLocally(request: SlotRequest, signal?: AbortSignal): Promise<Result<SlotGrant, Failure>> {
		const {registry, hostId, failureDomain, checkPause} = this.#options;
		const allocator = registry.get(request.service);
		if (!allocator) {
			return err(createFailure('no-endpoint', {service: request.service}));
		}

		const epoch = this.#epoch;
		const source = createAllocatorSource({
			allocator,
			hostId,
			failureDomain,
			isValid: () => {
				checkPause();
				return epoch === this.#epoch;
			},
		});
		return source.acquire(request, signal);
	}

	/** Finds the link to the highest-ranked host that can be reached; undefined means that this host allocates the service. */
	async #findLink(service: string): Promise<SlotLink | undefined> {
		const {directory, hostId, openTimeoutMilliseconds} = this.#options;
		const rankedIds = directory.rankEntryHosts(service);
		for (const id of rankedIds) {
			if (id === hostId) {
				this.#setAllocatorHost(service, hostId);
				return undefined;
			}

			const link = this.#links.open(id);
			if (link && (link.state === LinkState.open || await link.waitOpen(openTimeoutMilliseconds))) {
				this.#setAllocatorHost(service, id);
				return link;
			}
		}

		this.#setAllocatorHost(service, hostId);
		return undefined;
	}

	#setAllocatorHost(service: string, hostId: string): void {
		const previousHostId = this.#allocatorHosts.get(service);
		if (previousHostId === hostId) {
			return;
		}

		this.#allocatorHosts.set(service, hostId);
		if (previousHostId === undefined) {
			return;
		}

		const previousLink = this.#links.find(previousHostId);
		previousLink?.announceMoved(service);
		this.#reportActiveSlots(service, hostId);
	}

	/** Reports slots in use that the previous allocator of a service granted to the new one. */
	#reportActiveSlots(service: string, hostId: string): void {
		for (const activeSlot of this.#activeSlots) {
			if (activeSlot.held.request.service !== service || this.#links.find(activeSlot.allocatorHostId)?.state === LinkState.open) {
				continue;
			}

			activeSlot.allocatorHostId = hostId;
			this.#reportActiveSlot(activeSlot);
		}
	}

	#reportActiveSlot({allocatorHostId, held}: ActiveSlot): void {
		const {hostId, failureDomain, registry} = this.#options;
		if (allocatorHostId !== hostId) {
			this.#links.find(allocatorHostId)?.adopt(held);
			return;
		}

		const {grantId, endpointId, request} = held;
		registry.get(request.service)?.adopt(grantId, {
			hostId, failureDomain, request, endpointId,
		});
	}

	#release(activeSlot: ActiveSlot, reported: SlotRelease): void {
		const {allocatorHostId, held: {grantId, request: {service, fingerprint}}} = activeSlot;
		if (!this.#activeSlots.delete(activeSlot)) {
			return;
		}

		const hasCrashed = reported.outcome === AttemptOutcome.crashed;
		const release = hasCrashed ? {...reported, crashed: fingerprint} : reported;
		if (hasCrashed) {
			// The retry starts before the allocator's crash notice arrives and must not use a leased slot.
			this.#spreadCrashes(service, [{fingerprint, crashes: 1}], this.#links.find(allocatorHostId));
		}

		if (allocatorHostId === this.#options.hostId) {
			this.#options.registry.get(service)?.release(grantId, release);
			return;
		}

		this.#links.find(allocatorHostId)?.release(grantId, service, release);
	}

	/**
	 * Passes crashes on to the allocators of other hosts, because hosts may use different allocators of a service for some time, for
	 * example while their links open after a start.
	 */
	#spreadCrashes(service: string, records: readonly CrashRecord[], source?: SlotLink): void {
		const raised = this.#noticeCache.recordCrashes(service, records);
		if (raised.length === 0) {
			return;
		}

		for (const link of this.#links.list()) {
			if (link !== source) {
				link.reportCrashes(service, raised);
			}
		}
	}

	#buildHello(): HelloMessage {
		const {hostId, incarnation, failureDomain} = this.#options;
		return {
			type: 'hello', hostId, incarnation, failureDomain, held: [], ...this.#noticeCache.list(),
		};
	}

	#handleNotice<T extends AllocatorNotice['type']>(notice: Extract<AllocatorNotice, {type: T}>, link: SlotLink): void {
		const handle = this.#noticeHandlers[notice.type];
		handle(notice, link);
	}

	#createGrant(link: SlotLink, {grantId, endpointId, address}: LinkGrant, {request, epoch}: {request: SlotRequest; epoch: number}): SlotGrant {
		const activeSlot: ActiveSlot = {allocatorHostId: link.peerId, held: {grantId, endpointId, request}};
		this.#activeSlots.add(activeSlot);
		return {
			endpointId,
			address,
			isUsable: () => {
				this.#options.checkPause();
				return epoch === this.#epoch && link.isFresh;
			},
			release: (release: SlotRelease) => {
				this.#release(activeSlot, release);
			},
		};
	}
}

