import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {buildOperatorConfiguration, StandInRowStore} from '@tanagerrail/stand-ins';
import type {RandomSource} from '../load/random-source.js';
import {DisturbanceLog} from './disturbance-log.js';
import {SoakEndpoint} from './soak-endpoint.js';
import {SoakHost} from './soak-host.js';
import {SoakHistory} from './soak-history.js';

/** Services of a soak, each with the type of its permanent route. */
export const soakServices = {reads: 'safe', payments: 'unsafe', downloads: 'download'} as const;

/** Name of a service. */
export type SoakService = keyof typeof soakServices;

/** Interval at which endpoints renew their registry entries. */
const heartbeatMilliseconds = 1500;

const endpointsPerService = 4;
const seedHostCount = 3;
const failureDomains = 3;

/** Options of {@link SoakFleet}. */
export type SoakFleetOptions = {
	readonly hosts: number;
	readonly random: RandomSource;
	/** Script that the hosts run instead of the product's; tests use it to disable a mechanism. */
	readonly script?: string;
};

/** Hosts as separate processes, with the store and the endpoints in this process; relays carry the traffic to the store and the endpoints. */
export class SoakFleet {
	readonly history = new SoakHistory();
	readonly store = new StandInRowStore();
	/** Periods of store faults, which affect all hosts. */
	readonly storeFaults = new DisturbanceLog();
	readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tanagerrail-soak-'));
	readonly endpoints: SoakEndpoint[] = [];
	hosts: readonly SoakHost[] = [];
	readonly #options: SoakFleetOptions;
	readonly #addedPrefixes: string[] = [];
	#revision = 0;
	#createdEndpoints = 0;
	#heartbeat: NodeJS.Timeout | undefined;

	constructor(options: SoakFleetOptions) {
		this.#options = options;
	}

	/** Prefixes of the routes that were added and not removed since. */
	get addedPrefixes(): readonly string[] {
		return this.#addedPrefixes;
	}

	/** Starts the store, endpoints and hosts, and waits until every host is ready. */
	async start(): Promise<void> {
		const {hosts, script} = this.#options;
		await this.store.start();
		for (const service of Object.keys(soakServices) as SoakService[]) {
			for (let index = 0; index < endpointsPerService; index++) {
				await this.addEndpoint(service);
			}
		}

		this.#publishRoutes();
		this.hosts = Array.from({length: hosts}, (_, index) => new SoakHost({
			id: `host-${index}`,
			failureDomain: `zone-${index % failureDomains}`,
			cores: index < failureDomains ? 2 : 1,
			directory: this.directory,
			storeAddress: this.store.address,
			script,
		}));
		const addresses = this.hosts.slice(0, seedHostCount).map(({peerAddress}) => peerAddress);
		await Promise.all(this.hosts.map(async host => host.start(addresses)));
		this.#heartbeat = setInterval(() => {
			this.#writeHeartbeats();
		}, heartbeatMilliseconds);
		await Promise.all(this.hosts.map(async host => host.waitReady()));
	}

	/** Stops the hosts, endpoints and store; the logs of the hosts stay in the directory. */
	async stop(): Promise<void> {
		clearInterval(this.#heartbeat);
		await Promise.all(this.hosts.map(async host => host.close()));
		await Promise.all(this.endpoints.map(async endpoint => endpoint.stop()));
		await this.store.stop();
	}

	/**
	 * Starts an endpoint and registers it.
	 *
	 * @param service - Its service.
	 * @returns The endpoint.
	 */
	async addEndpoint(service: string): Promise<SoakEndpoint> {
		const {random} = this.#options;
		const endpoint = new SoakEndpoint({
			id: this.createEndpointId(), service, history: this.history, draw: () => random.draw(),
		});
		await endpoint.start();
		this.endpoints.push(endpoint);
		this.register(endpoint);
		return endpoint;
	}

	/**
	 * Creates an id that has not been used for another endpoint.
	 *
	 * @returns The id.
	 */
	createEndpointId(): string {
		this.#createdEndpoints += 1;
		return `endpoint-${this.#createdEndpoints}`;
	}

	/**
	 * Writes the entry of an endpoint to the registry.
	 *
	 * @param endpoint - The endpoint.
	 */
	register(endpoint: SoakEndpoint): void {
		endpoint.sequence += 1;
		this.store.put('servers', endpoint.id, endpoint.buildEntry());
	}

	/**
	 * Announces that an endpoint is leaving.
	 *
	 * @param endpoint - The endpoint; it continues to serve requests.
	 * @param keepsEntry - Whether its registry entry is kept and marked as draining; otherwise the entry is removed.
	 */
	announceDeparture(endpoint: SoakEndpoint, keepsEntry: boolean): void {
		endpoint.state = 'draining';
		if (keepsEntry) {
			this.register(endpoint);
		} else {
			this.store.remove('servers', endpoint.id);
		}

		this.history.departures.push({endpoint: endpoint.id, at: performance.now()});
	}

	/**
	 * Stops an endpoint that has left.
	 *
	 * @param endpoint - The endpoint.
	 */
	async removeEndpoint(endpoint: SoakEndpoint): Promise<void> {
		this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
		this.store.remove('servers', endpoint.id);
		await endpoint.stop();
	}

	/** Publishes a configuration with another route to the service `reads`. */
	addRoute(): void {
		const prefix = `/added-${this.#revision}/`;
		this.#addedPrefixes.push(prefix);
		this.#publishRoutes();
		this.history.routeChanges.push({prefix, isAdded: true, at: performance.now()});
	}

	/** Publishes a configuration without the oldest added route. */
	removeRoute(): void {
		const prefix = this.#addedPrefixes.shift();
		if (prefix === undefined) {
			return;
		}

		this.#publishRoutes();
		this.history.routeChanges.push({prefix, isAdded: false, at: performance.now()});
	}

	#writeHeartbeats(): void {
		for (const endpoint of this.endpoints) {
			if (endpoint.state === 'ready') {
				this.register(endpoint);
			}
		}
	}

	#publishRoutes(): void {
		// Hosts must not assume that revisions are consecutive.
		this.#revision += 1 + this.#options.random.drawIndex(3);
		const permanent = Object.entries(soakServices).map(([service, type]) => ({prefix: `/${service}/`, service, type}));
		const added = this.#addedPrefixes.map(prefix => ({prefix, service: 'reads', type: 'safe'}));
		this.store.put('op', 'config', buildOperatorConfiguration({
			revision: this.#revision,
			routes: [...permanent, ...added].map(({prefix, service, type}) => ({
				path_prefix: prefix, service, type, timeout_ms: 1500, target_latency_ms: 500, max_attempts: 3,
			})),
			services: Object.keys(soakServices),
		}));
	}
}
