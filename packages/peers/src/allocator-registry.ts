import type {Configuration} from '@tanagerrail/configuration';
import type {HostDirectory} from '@tanagerrail/membership';
import {LoadProber, type MeasuringCost} from '@tanagerrail/measuring';
import {HostState} from '@tanagerrail/platform';
import {Allocator, type CrashRecord, type EndpointStatus} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link AllocatorRegistry}. */
export type AllocatorRegistryOptions = {
	readonly hostId: string;
	readonly directory: HostDirectory;
	readonly clock: Clock;
	readonly random: () => number;
	readonly getConfiguration: () => Configuration | undefined;
	/** Time for which a new allocator reserves the share of hosts that have not connected, in milliseconds. */
	readonly joinGraceMilliseconds: number;
	/** Called once per second with the cost of measuring. */
	readonly onCost: (service: string, cost: MeasuringCost) => void;
	/** Interval between two checks for waiting requests past their deadline, in milliseconds. */
	readonly expiryIntervalMilliseconds: number;
};

/** Callbacks for events of the allocators on this host; a listener implements those it needs. */
export type AllocatorListener = {
	readonly onCreate?: (service: string, allocator: Allocator) => void;
	/** Called when a host must return its leased slots, because requests wait or a leased slot's endpoint is not healthy. */
	readonly onRecall?: (service: string, hostId: string) => void;
	readonly onDrain?: (service: string, endpointId: string) => void;
	readonly onCrash?: (service: string, record: CrashRecord) => void;
};

/** Defaults of {@link AllocatorRegistryOptions}. */
export const defaultAllocatorRegistryOptions = {
	joinGraceMilliseconds: 500, expiryIntervalMilliseconds: 5, random: Math.random, onCost: () => undefined,
};

/** An allocator and the hosts that use it. */
type Entry = {
	readonly allocator: Allocator;
	readonly prober: LoadProber;
	readonly createdAt: number;
	/** Ids of the hosts that use the allocator. */
	readonly hostIds: Set<string>;
	/** Ids of the hosts that use another allocator of the service. */
	readonly movedHostIds: Set<string>;
	/** Whether the share of hosts that have not connected is still reserved. */
	isInJoinGrace: boolean;
};

/** The allocators that run on this host, by service. */
export class AllocatorRegistry {
	readonly #options: AllocatorRegistryOptions;
	readonly #entries = new Map<string, Entry>();
	readonly #timer: NodeJS.Timeout;
	readonly #listeners: AllocatorListener[] = [];

	constructor(options: Partial<AllocatorRegistryOptions> & Pick<AllocatorRegistryOptions, 'hostId' | 'directory' | 'clock' | 'getConfiguration'>) {
		this.#options = {...defaultAllocatorRegistryOptions, ...options};
		this.#options.directory.onChange(() => {
			this.#updateEntries();
		});
		this.#timer = setInterval(() => {
			this.#expire();
		}, this.#options.expiryIntervalMilliseconds);
	}

	/**
	 * Adds a listener for the events of all allocators.
	 *
	 * @param listener - Called for each event.
	 */
	addListener(listener: AllocatorListener): void {
		this.#listeners.push(listener);
	}

	/**
	 * Returns the allocator of a service.
	 *
	 * @param service - Name of the service.
	 * @returns The allocator, which is created if necessary; undefined for an unknown service.
	 */
	get(service: string): Allocator | undefined {
		const known = this.#entries.get(service);
		if (known) {
			return known.allocator;
		}

		const configuration = this.#options.getConfiguration();
		const configured = configuration?.services.find(({name}) => name === service);
		if (!configuration || !configured) {
			return undefined;
		}

		const {clock, random, onCost} = this.#options;
		const allocator: Allocator = new Allocator({
			service: configured,
			clock,
			random,
			onRecall: hostId => {
				this.#notify(({onRecall}) => onRecall?.(service, hostId));
			},
			onDrain: endpointId => {
				this.#notify(({onDrain}) => onDrain?.(service, endpointId));
			},
			onCrash: fingerprint => {
				const record = {fingerprint, crashes: allocator.quarantine.countCrashes(fingerprint)};
				this.#notify(({onCrash}) => onCrash?.(service, record));
			},
		});
		const prober = new LoadProber(configuration.measuring, {
			service,
			targets: allocator.probeTargets,
			loadPath: configured.loadPath,
			clock,
			onCost(cost) {
				onCost(service, cost);
			},
		});
		prober.start();
		this.#entries.set(service, {
			allocator, prober, createdAt: clock(), hostIds: new Set([this.#options.hostId]), movedHostIds: new Set(), isInJoinGrace: true,
		});
		this.#updateEntry(service);
		this.#notify(({onCreate}) => onCreate?.(service, allocator));
		return allocator;
	}

	/**
	 * Adopts crashes that another host reports, in the allocator of the service if there is one, and notifies the listeners.
	 *
	 * @param service - Name of the service.
	 * @param records - Crashes by fingerprint.
	 */
	adoptCrashes(service: string, records: readonly CrashRecord[]): void {
		const quarantine = this.#entries.get(service)?.allocator.quarantine;
		for (const record of records) {
			if (quarantine?.merge(record) ?? true) {
				this.#notify(({onCrash}) => onCrash?.(service, record));
			}
		}
	}

	/**
	 * Records that a host uses the allocator of a service.
	 *
	 * @param service - Name of the service.
	 * @param hostId - Id of the host.
	 */
	addHost(service: string, hostId: string): void {
		const entry = this.#entries.get(service);
		if (!entry || (entry.hostIds.has(hostId) && !entry.movedHostIds.has(hostId))) {
			return;
		}

		entry.hostIds.add(hostId);
		entry.movedHostIds.delete(hostId);
		this.#updateEntry(service);
	}

	/**
	 * Records that a host now uses another allocator of a service.
	 *
	 * @param service - Name of the service.
	 * @param hostId - Id of the host.
	 */
	recordMoved(service: string, hostId: string): void {
		const entry = this.#entries.get(service);
		entry?.hostIds.delete(hostId);
		entry?.movedHostIds.add(hostId);
		this.#updateEntry(service);
	}

	/**
	 * Reclaims the slots of a host whose link has closed.
	 *
	 * @param hostId - Id of the host.
	 */
	removeHost(hostId: string): void {
		for (const [service, entry] of this.#entries) {
			entry.hostIds.delete(hostId);
			entry.allocator.removeHost(hostId);
			this.#updateEntry(service);
		}
	}

	/** Discards all allocators; called after the process was paused. */
	reset(): void {
		for (const {prober} of this.#entries.values()) {
			prober.stop();
		}

		this.#entries.clear();
	}

	/**
	 * Applies the configuration in force. Waiting requests and slots in use are kept; the allocator of a removed service is
	 * kept until it is idle.
	 */
	updateConfiguration(): void {
		const configuration = this.#options.getConfiguration();
		for (const [name, {allocator, prober}] of this.#entries) {
			const service = configuration?.services.find(candidate => candidate.name === name);
			if (configuration && service) {
				allocator.updateService(service);
				prober.update(configuration.measuring);
			} else if (configuration && allocator.waiting === 0 && allocator.inUse === 0) {
				prober.stop();
				this.#entries.delete(name);
			}
		}
	}

	/**
	 * Describes the endpoints of all allocators on this host.
	 *
	 * @returns Endpoint states by service.
	 */
	describe(): Record<string, EndpointStatus[]> {
		return Object.fromEntries([...this.#entries].map(([service, {allocator}]) => [service, allocator.describe()]));
	}

	/** Stops the timer and the probes. */
	stop(): void {
		clearInterval(this.#timer);
		this.reset();
	}

	#notify(send: (listener: AllocatorListener) => void): void {
		for (const listener of this.#listeners) {
			send(listener);
		}
	}

	#expire(): void {
		for (const [service, {allocator, isInJoinGrace}] of this.#entries) {
			if (isInJoinGrace) {
				this.#updateEntry(service);
			}

			allocator.expire();
		}
	}

	#updateEntries(): void {
		for (const service of this.#entries.keys()) {
			this.#updateEntry(service);
		}
	}

	#updateEntry(service: string): void {
		const entry = this.#entries.get(service);
		if (!entry) {
			return;
		}

		const {hostId, directory, clock, joinGraceMilliseconds} = this.#options;
		const ids = directory.listEntryHosts().map(({id}) => id);
		const listedCount = Math.max(1, ids.length);
		const share = {
			isFirstRank: (directory.rankEntryHosts(service)[0] ?? hostId) === hostId,
			listed: listedCount,
			connected: entry.hostIds.size,
			moved: ids.filter(id => entry.movedHostIds.has(id)).length,
		};
		const endpoints = directory.listEndpoints(service);
		entry.allocator.updateEndpoints(endpoints.map(({id, address, failureDomain, state}) => ({
			id, address, failureDomain, isLeaving: state === HostState.leaving,
		})));
		entry.isInJoinGrace = clock() - entry.createdAt < joinGraceMilliseconds;
		const missing = Math.max(0, listedCount - entry.hostIds.size);
		entry.allocator.setQuotaInput(share, entry.isInJoinGrace && share.isFirstRank ? Math.floor(entry.allocator.slots * missing / listedCount) : 0);
	}
}
