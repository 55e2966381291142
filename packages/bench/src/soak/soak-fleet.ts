import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {buildOperatorConfiguration, StandInRowStore} from '@tanagerrail/stand-ins';
import type {RandomSource} from '../load/random-source.js';
import {DisturbanceLog} from './disturbance-log.js';
import {SoakEndpoint} from './soak-endpoint.js';
import {SoakHost} from './soak-host.js';
import {SoakLedger} from './soak-ledger.js';

/** Services of a soak with the type of their standing route. */
export const soakServices = {reads: 'safe', payments: 'unsafe', downloads: 'download'} as const;

/** Name of a service. */
export type SoakService = keyof typeof soakServices;

/** Time between two heartbeats of an endpoint, in milliseconds. */
const heartbeatMilliseconds = 1500;

const endpointsPerService = 4;
const seeds = 3;
const failureDomains = 3;

/** Options of {@link SoakFleet}. */
export type SoakFleetOptions = {
	readonly hosts: number;
	readonly random: RandomSource;
	/** Script of the hosts in place of the product's; tests use it to switch a mechanism off. */
	readonly script?: string;
};

/** Hosts as real processes, with a store and endpoints in this process, each behind a relay. */
export class SoakFleet {
	readonly ledger = new SoakLedger();
	readonly store = new StandInRowStore();
	/** Faults of the store that concern all hosts. */
	readonly storeFaults = new DisturbanceLog();
	readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tanagerrail-soak-'));
	readonly endpoints: SoakEndpoint[] = [];
	hosts: readonly SoakHost[] = [];
	readonly #options: SoakFleetOptions;
	readonly #addedPrefixes: string[] = [];
	#revision = 0;
	#created = 0;
	#heartbeat: NodeJS.Timeout | undefined;

	constructor(options: SoakFleetOptions) {
		this.#options = options;
	}

	/** Prefixes of the routes that were added and are still there. */
	get addedPrefixes(): readonly string[] {
		return this.#addedPrefixes;
	}

	/** Starts everything and waits until each host is ready. */
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
		const addresses = this.hosts.slice(0, seeds).map(({peerAddress}) => peerAddress);
		await Promise.all(this.hosts.map(async host => host.start(addresses)));
		this.#heartbeat = setInterval(() => {
			this.#writeHeartbeats();
		}, heartbeatMilliseconds);
		await Promise.all(this.hosts.map(async host => host.waitReady()));
	}

	/** Stops everything; the logs of the hosts stay in the directory. */
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
			id: this.createEndpointId(), service, ledger: this.ledger, draw: () => random.draw(),
		});
		await endpoint.start();
		this.endpoints.push(endpoint);
		this.register(endpoint);
		return endpoint;
	}

	/**
	 * Creates an id that no endpoint has had.
	 *
	 * @returns The id.
	 */
	createEndpointId(): string {
		this.#created += 1;
		return `endpoint-${this.#created}`;
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
	 * Announces that an endpoint leaves.
	 *
	 * @param endpoint - The endpoint; it goes on serving.
	 * @param isAnnounced - Whether its entry says that it is draining; otherwise the entry is removed.
	 */
	announceDeparture(endpoint: SoakEndpoint, isAnnounced: boolean): void {
		endpoint.state = 'draining';
		if (isAnnounced) {
			this.register(endpoint);
		} else {
			this.store.remove('servers', endpoint.id);
		}

		this.ledger.departures.push({endpoint: endpoint.id, at: performance.now()});
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

	/** Adds a route to the reads in a new configuration. */
	addRoute(): void {
		const prefix = `/added-${this.#revision}/`;
		this.#addedPrefixes.push(prefix);
		this.#publishRoutes();
		this.ledger.routeChanges.push({prefix, isAdded: true, at: performance.now()});
	}

	/** Drops the oldest added route in a new configuration. */
	dropRoute(): void {
		const prefix = this.#addedPrefixes.shift();
		if (prefix === undefined) {
			return;
		}

		this.#publishRoutes();
		this.ledger.routeChanges.push({prefix, isAdded: false, at: performance.now()});
	}

	#writeHeartbeats(): void {
		for (const endpoint of this.endpoints) {
			if (endpoint.state === 'ready') {
				this.register(endpoint);
			}
		}
	}

	#publishRoutes(): void {
		// Revisions increase in uneven steps.
		this.#revision += 1 + this.#options.random.drawIndex(3);
		const standing = Object.entries(soakServices).map(([service, type]) => ({prefix: `/${service}/`, service, type}));
		const added = this.#addedPrefixes.map(prefix => ({prefix, service: 'reads', type: 'safe'}));
		this.store.put('op', 'config', buildOperatorConfiguration({
			revision: this.#revision,
			routes: [...standing, ...added].map(({prefix, service, type}) => ({
				path_prefix: prefix, service, type, timeout_ms: 1500, target_latency_ms: 500, max_attempts: 3,
			})),
			services: Object.keys(soakServices),
		}));
	}
}
