import type {Server} from 'node:http';
import type {RouteIndex, RouteTable} from '@tanagerrail/configuration';
import {EndpointFollower, RouteFollower, waitUntil} from '@tanagerrail/membership';
import {
	createRelayRouter, createRelayServer, HostRoster, PlatformState, RelayClient, RelaySources, StateFollower,
} from '@tanagerrail/peers';
import {EndpointDirectory, type DirectoryChange, type EndpointListing} from '@tanagerrail/routing';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import {createEndpointSource, createRouteSource, StoreClient} from '@tanagerrail/vihmavesi';
import type {EdgeSettings} from './edge-settings.js';
import {openServer} from './open-server.js';

const logger = createLogger('membership');

/** Number of hosts that is assumed while others are not known, so that all together stay within the budgets. */
const assumedHosts = 60;

/** Characters by which the lives of a process are told apart; they are part of each question between hosts. */
const incarnationLength = 8;

/** Time after a restart before the seeds are told, in milliseconds; requests wait for a host that starts. */
const rosterDelayMilliseconds = 1200;

/** Part of the time in which a leaving endpoint may still get requests after which the registry is read again. */
const registryShare = 0.55;

/** Part of that time after which a host that has heard nothing reads the registry itself. */
const staleShare = 0.68;

/**
 * How much longer a host that cannot reach the store waits between two calls when another host of its failure domain
 * comes before it: that host finds out first that the store is back, and calls are priced also when they fail.
 */
const successorRetryFactor = 3;

/** Options of {@link EdgePlatform}. */
export type EdgePlatformOptions = {
	readonly settings: EdgeSettings;
	readonly clock: Clock;
	/** Called when a newer configuration is in force. */
	readonly onRoutes: (table: RouteTable) => void;
	/** Called when the endpoints have been confirmed or have changed. */
	readonly onEndpoints: () => void;
};

/** What an edge host knows of its platform, from the store or from the host that reads it. */
export class EdgePlatform {
	readonly directory: EndpointDirectory;
	readonly #options: EdgePlatformOptions;
	#settings: EdgeSettings;
	readonly #store: StoreClient;
	readonly #routes: RouteFollower;
	readonly #endpoints: EndpointFollower<EndpointListing>;
	readonly #state: PlatformState;
	readonly #relayClient = new RelayClient();
	readonly #relayServer: Server;
	readonly #follower: StateFollower;
	readonly #roster: HostRoster;
	readonly #stopped = new AbortController();

	constructor(options: EdgePlatformOptions) {
		const {settings: {store, host: {isFirstStart, ...host}, bounds, listen}, clock, onRoutes, onEndpoints} = options;
		const self = {...host, peerAddress: listen.peers};
		const incarnation = crypto.randomUUID().slice(0, incarnationLength);
		const staleMilliseconds = staleShare * bounds.drainMilliseconds;
		this.#options = options;
		this.#settings = options.settings;
		this.#store = new StoreClient({address: store.address});
		this.directory = new EndpointDirectory({clock});
		this.#routes = new RouteFollower({
			source: createRouteSource(this.#store),
			clock,
			onApplied: table => {
				this.#state.notify();
				onRoutes(table);
			},
		});
		this.#roster = new HostRoster({
			clock,
			self,
			getSeeds: () => this.#settings.seeds,
			announceHosts: (address, sightings) => this.#relayClient.announceHosts(address, sightings),
			listHosts: address => this.#relayClient.listHosts(address),
		});
		this.#state = new PlatformState({
			clock,
			incarnation,
			directory: this.directory,
			routes: this.#routes,
			roster: this.#roster,
			staleMilliseconds,
			hasSource: () => this.#follower.hasSource,
			onEndpoints(changes) {
				logChanges(changes);
				onEndpoints();
			},
		});
		this.#endpoints = this.#createEndpointFollower();
		this.#follower = new StateFollower({
			self,
			isFirstStart,
			isSettled: () => this.#roster.isSettled,
			state: this.#state,
			sources: new RelaySources({
				clock, hostId: host.id, failureDomain: host.failureDomain, listHosts: () => this.#roster.hosts,
			}),
			client: this.#relayClient,
			readStore: signal => {
				void this.#routes.run(signal);
				void this.#endpoints.run(signal);
			},
			isStoreDown: () => !this.#endpoints.isConnected,
			getRevision: () => this.#routes.current?.table.revision,
			staleMilliseconds,
		});
		this.#relayServer = createRelayServer(createRelayRouter({state: this.#state, roster: this.#roster, holdMilliseconds: staleMilliseconds}));
	}

	/** The configuration in force. */
	get routes(): RouteIndex | undefined {
		return this.#routes.current;
	}

	/** Whether a configuration and the endpoints are known. */
	get isKnown(): boolean {
		return this.#routes.current !== undefined && this.directory.isKnown;
	}

	/** Number of hosts that share the budgets. */
	get hostCount(): number {
		return this.#roster.count ?? assumedHosts;
	}

	/** Starts to follow the platform and to tell other hosts. */
	async start(): Promise<void> {
		const {signal} = this.#stopped;
		void this.#follower.run(signal);
		void this.#runRoster(signal);
		await openServer(this.#relayServer, this.#settings.listen.peers);
	}

	/**
	 * Takes over settings that have changed.
	 *
	 * @param settings - The new settings; only the seeds count.
	 */
	updateSettings(settings: EdgeSettings): void {
		this.#settings = settings;
	}

	/** Stops following. */
	stop(): void {
		this.#stopped.abort();
		this.#relayServer.close();
		this.#relayServer.closeAllConnections();
		this.#relayClient.close();
		this.#store.close();
	}

	async #runRoster(signal: AbortSignal): Promise<void> {
		if (!this.#settings.host.isFirstStart) {
			await waitUntil(rosterDelayMilliseconds, signal);
		}

		await this.#roster.run(signal);
	}

	#createEndpointFollower(): EndpointFollower<EndpointListing> {
		const {settings: {bounds}, clock, onEndpoints} = this.#options;
		return new EndpointFollower<EndpointListing>({
			source: createEndpointSource(this.#store),
			clock,
			intervalMilliseconds: registryShare * bounds.drainMilliseconds,
			onListing: (endpoints, version) => {
				logChanges(this.directory.update(endpoints));
				this.#state.markCurrent(version);
				onEndpoints();
			},
			getRetryFactor: () => this.#follower.hasPredecessor ? successorRetryFactor : 1,
			onOutage: () => {
				this.#state.notify();
				this.#routes.refresh();
			},
			onOutageEnd: wasAway => {
				this.#routes.refresh();
				if (wasAway) {
					this.directory.handleOutageEnd();
				}
			},
		});
	}
}

function logChanges(changes: readonly DirectoryChange[]): void {
	for (const {kind, endpoint} of changes) {
		const {id, service, address, failureDomain, startedAt, sequence} = endpoint;
		logger.log(LogLevel.info, 'endpoint-listed', {
			endpoint: id, change: kind, service, address, endpointDomain: failureDomain, startedAt, sequence,
		});
	}
}
