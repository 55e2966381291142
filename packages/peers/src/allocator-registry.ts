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
	/** How long a new allocator holds back the share of hosts that have not connected, in milliseconds. */
	readonly joinGraceMilliseconds: number;
	/** Called with the cost of measuring in each second. */
	readonly onCost: (service: string, cost: MeasuringCost) => void;
	/** Time between two looks at waiting requests whose deadline has come, in milliseconds. */
	readonly expireMilliseconds: number;
};

/** What allocators tell the hosts that use them; each listener names the events it takes. */
export type AllocatorListener = {
	readonly onCreate?: (service: string, allocator: Allocator) => void;
	/** Requests of the service wait while the host keeps leased slots. */
	readonly onRecall?: (service: string, hostId: string) => void;
	readonly onDrain?: (service: string, endpointId: string) => void;
	readonly onCrash?: (service: string, record: CrashRecord) => void;
};

/** Defaults of {@link AllocatorRegistryOptions}. */
export const defaultAllocatorRegistryOptions = {
	joinGraceMilliseconds: 500, expireMilliseconds: 5, random: Math.random, onCost: () => undefined,
};

type Entry = {
	readonly allocator: Allocator;
	readonly prober: LoadProber;
	readonly createdAt: number;
	readonly users: Set<string>;
	readonly moved: Set<string>;
	/** Whether the share of hosts that have not connected is still held back. */
	isJoining: boolean;
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
			this.#update();
		});
		this.#timer = setInterval(() => {
			this.#expire();
		}, this.#options.expireMilliseconds);
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
	 * @returns The allocator, a new one if need be; nothing for an unknown service.
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
			allocator, prober, createdAt: clock(), users: new Set([this.#options.hostId]), moved: new Set(), isJoining: true,
		});
		this.#updateEntry(service);
		this.#notify(({onCreate}) => onCreate?.(service, allocator));
		return allocator;
	}

	/**
	 * Records that a host uses the allocator of a service.
	 *
	 * @param service - Name of the service.
	 * @param hostId - Id of the host.
	 */
	addUser(service: string, hostId: string): void {
		const entry = this.#entries.get(service);
		if (!entry || (entry.users.has(hostId) && !entry.moved.has(hostId))) {
			return;
		}

		entry.users.add(hostId);
		entry.moved.delete(hostId);
		this.#updateEntry(service);
	}

	/**
	 * Records that a host uses another allocator of a service now.
	 *
	 * @param service - Name of the service.
	 * @param hostId - Id of the host.
	 */
	recordMoved(service: string, hostId: string): void {
		const entry = this.#entries.get(service);
		entry?.users.delete(hostId);
		entry?.moved.add(hostId);
		this.#updateEntry(service);
	}

	/**
	 * Takes back the slots of a host whose link is closed.
	 *
	 * @param hostId - Id of the host.
	 */
	removeHost(hostId: string): void {
		for (const [service, entry] of this.#entries) {
			entry.users.delete(hostId);
			entry.allocator.removeHost(hostId);
			this.#updateEntry(service);
		}
	}

	/** Discards all allocators after a pause. */
	reset(): void {
		for (const {prober} of this.#entries.values()) {
			prober.stop();
		}

		this.#entries.clear();
	}

	/**
	 * Applies the configuration in force. Waits and slots in use stay; the allocator of a removed service stays until it is
	 * idle.
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

	/** Ends the timer and the probes. */
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
		for (const [service, {allocator, isJoining}] of this.#entries) {
			if (isJoining) {
				this.#updateEntry(service);
			}

			allocator.expire();
		}
	}

	#update(): void {
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
		const ids = directory.listEntries().map(({id}) => id);
		const listed = Math.max(1, ids.length);
		const share = {
			isFirstRank: (directory.rankEntries(service)[0] ?? hostId) === hostId,
			listed,
			connected: entry.users.size,
			moved: ids.filter(id => entry.moved.has(id)).length,
		};
		const endpoints = directory.listEndpoints(service);
		entry.allocator.updateEndpoints(endpoints.map(({id, address, failureDomain, state}) => ({
			id, address, failureDomain, isLeaving: state === HostState.leaving,
		})));
		entry.isJoining = clock() - entry.createdAt < joinGraceMilliseconds;
		const missing = Math.max(0, listed - entry.users.size);
		entry.allocator.setShare(share, entry.isJoining && share.isFirstRank ? Math.floor(entry.allocator.slots * missing / listed) : 0);
	}
}
