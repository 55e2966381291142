import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import type {HostDirectory} from '@tanagerrail/membership';
import {createFailure, type Failure} from '@tanagerrail/results';
import {WorkKind} from '@tanagerrail/configuration';
import {
	AttemptOutcome, createAllocatorSource, type SlotGrant, type SlotRelease, type SlotRequest, type SlotSource,
} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';
import type {AllocatorRegistry} from './allocator-registry.js';
import {HostMemory} from './host-memory.js';
import {LeasePool} from './lease-pool.js';
import {
	LinkState, SlotLink, type AllocatorNotice, type LinkGrant,
} from './slot-link.js';
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
	/** Looks for a pause of the process before a grant is used. */
	readonly checkPause: () => void;
	/** Time allowed for opening a link before the next host in order is asked, in milliseconds. */
	readonly openMilliseconds: number;
};

/** Defaults of {@link SlotRouterOptions}. */
export const defaultSlotRouterOptions = {openMilliseconds: 250};

/** A slot in use, with the host whose allocator takes it back. */
type ActiveGrant = {ownerId: string; readonly held: HeldSlot};

type NoticeHandlers = {readonly [T in AllocatorNotice['type']]: (notice: Extract<AllocatorNotice, {type: T}>, link: SlotLink) => void};

/** Finds the allocator of each service and passes slot requests to it. */
export class SlotRouter implements SlotSource {
	readonly #options: SlotRouterOptions;
	readonly #links = new Map<string, SlotLink>();
	readonly #active = new Set<ActiveGrant>();
	readonly #owners = new Map<string, string>();
	readonly #leases = new LeasePool();
	readonly #memory: HostMemory;
	#epoch = 0;

	readonly #noticeHandlers: NoticeHandlers = {
		lease: ({service, grantId, endpointId, address}, link) => {
			this.#leases.add({
				grantId, endpointId, address, service, link,
			});
		},
		recall: ({service}, link) => {
			for (const {grantId} of this.#leases.remove(link, service)) {
				link.releaseLease(grantId, service);
			}
		},
		crashes: ({service, records}) => {
			this.#memory.recordCrashes(service, records);
		},
		drain: ({service, endpointId}) => {
			this.#memory.recordDrain(service, endpointId);
		},
	};

	constructor(options: Partial<SlotRouterOptions> & Omit<SlotRouterOptions, keyof typeof defaultSlotRouterOptions>) {
		this.#options = {...defaultSlotRouterOptions, ...options};
		const {clock, directory, registry} = options;
		this.#memory = new HostMemory({clock});
		directory.onChange(() => {
			this.#memory.expire(id => directory.has(id));
			this.#closeStaleLinks();
			this.connect();
		});
		registry.addListener({
			onCreate: (service, allocator) => {
				this.#memory.announce(service, allocator);
			},
			onDrain: (service, endpointId) => {
				this.#memory.recordDrain(service, endpointId);
			},
			onCrash: (service, record) => {
				this.#memory.recordCrashes(service, [record]);
			},
		});
	}

	/** Links by peer, with their state and bytes of control messages. */
	get links(): readonly SlotLink[] {
		return [...this.#links.values()];
	}

	acquire(request: SlotRequest, signal?: AbortSignal): ResultAsync<SlotGrant, Failure> {
		return new ResultAsync(this.#acquire(request, signal));
	}

	/** Opens the links to the allocators of all services, so that no request waits for it. */
	connect(): void {
		const {directory, hostId, getServices} = this.#options;
		for (const service of getServices()) {
			const [first] = directory.rankEntries(service);
			if (first !== undefined && first !== hostId) {
				this.#getLink(first);
			}
		}
	}

	/** Discards unused grants and all links after a pause. */
	reset(): void {
		this.#epoch += 1;
		this.#leases.reset();
		for (const link of this.#links.values()) {
			link.reset();
		}
	}

	/** Closes all links. */
	close(): void {
		for (const link of this.#links.values()) {
			link.close();
		}
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
			// A lost allocator has not decided; the next host in order takes over.
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
		if (request.kind !== WorkKind.short || this.#memory.hasCrashed(request.service, request.fingerprint)) {
			return undefined;
		}

		this.#options.checkPause();
		return this.#leases.take(request, lease => lease.link === link && link.isLeaseFresh && !this.#memory.isDraining(request.service, lease.endpointId));
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

	/** Finds the first host in order whose link works; nothing means this host itself. */
	async #findLink(service: string): Promise<SlotLink | undefined> {
		const {directory, hostId, openMilliseconds} = this.#options;
		const ranked = directory.rankEntries(service);
		for (const id of ranked) {
			if (id === hostId) {
				this.#setOwner(service, hostId);
				return undefined;
			}

			const link = this.#getLink(id);
			if (link && (link.state === LinkState.open || await link.waitOpen(openMilliseconds))) {
				this.#setOwner(service, id);
				return link;
			}
		}

		this.#setOwner(service, hostId);
		return undefined;
	}

	#setOwner(service: string, hostId: string): void {
		const former = this.#owners.get(service);
		if (former === hostId) {
			return;
		}

		this.#owners.set(service, hostId);
		if (former === undefined) {
			return;
		}

		const formerLink = this.#links.get(former);
		formerLink?.announceMoved(service);
		this.#carryOver(service, hostId);
	}

	/** Tells the new allocator of a service which slots are in use that the former one gave. */
	#carryOver(service: string, hostId: string): void {
		for (const grant of this.#active) {
			if (grant.held.request.service !== service || this.#links.get(grant.ownerId)?.state === LinkState.open) {
				continue;
			}

			grant.ownerId = hostId;
			this.#adopt(grant);
		}
	}

	#adopt({ownerId, held}: ActiveGrant): void {
		const {hostId, failureDomain, registry} = this.#options;
		if (ownerId !== hostId) {
			this.#links.get(ownerId)?.adopt(held);
			return;
		}

		const {grantId, endpointId, request} = held;
		registry.get(request.service)?.adopt(grantId, {
			hostId, failureDomain, request, endpointId,
		});
	}

	#release(grant: ActiveGrant, reported: SlotRelease): void {
		const {ownerId, held: {grantId, request: {service, fingerprint}}} = grant;
		if (!this.#active.delete(grant)) {
			return;
		}

		const hasCrashed = reported.outcome === AttemptOutcome.crashed;
		const release = hasCrashed ? {...reported, crashed: fingerprint} : reported;
		if (hasCrashed) {
			// The retry follows at once, before the allocator's notice, and must not use a leased slot.
			this.#memory.recordCrashes(service, [{fingerprint, crashes: 1}]);
		}

		if (ownerId === this.#options.hostId) {
			this.#options.registry.get(service)?.release(grantId, release);
			return;
		}

		this.#links.get(ownerId)?.release(grantId, service, release);
	}

	#getLink(id: string): SlotLink | undefined {
		const {directory, key, getAuthority, clock, getRevision, onRevision} = this.#options;
		const peerAddress = directory.find(id)?.peerAddress;
		const known = this.#links.get(id);
		if (known ?? peerAddress === undefined) {
			return known;
		}

		const link = new SlotLink({
			peerId: id,
			peerAddress,
			key,
			getAuthority,
			clock,
			getRevision,
			onRevision,
			buildHello: () => this.#buildHello(),
			onGoodbye(peerId) {
				directory.recordGoodbye(peerId);
			},
			onNotice: (notice, from) => {
				this.#handleNotice(notice, from);
			},
			onClosed: from => {
				this.#leases.drop(from);
			},
		});
		this.#links.set(id, link);
		void link.run();
		return link;
	}

	/** Closes the links to hosts that were replaced. */
	#closeStaleLinks(): void {
		for (const [id, link] of this.#links) {
			if (this.#options.directory.find(id)?.peerAddress !== link.peerAddress) {
				link.close();
				this.#links.delete(id);
			}
		}
	}

	#buildHello(): HelloMessage {
		const {hostId, incarnation, failureDomain} = this.#options;
		return {
			type: 'hello', hostId, incarnation, failureDomain, held: [], ...this.#memory.list(),
		};
	}

	#handleNotice<T extends AllocatorNotice['type']>(notice: Extract<AllocatorNotice, {type: T}>, link: SlotLink): void {
		const handle = this.#noticeHandlers[notice.type];
		handle(notice, link);
	}

	#createGrant(link: SlotLink, {grantId, endpointId, address}: LinkGrant, {request, epoch}: {request: SlotRequest; epoch: number}): SlotGrant {
		const active: ActiveGrant = {ownerId: link.peerId, held: {grantId, endpointId, request}};
		this.#active.add(active);
		return {
			endpointId,
			address,
			isUsable: () => {
				this.#options.checkPause();
				return epoch === this.#epoch && link.isFresh;
			},
			release: (release: SlotRelease) => {
				this.#release(active, release);
			},
		};
	}
}

