import type {Server} from 'node:http';
import type {RouteIndex, RouteTable} from '@tanagerrail/configuration';
import {
	EndpointFollower, PauseDetector, RouteFollower, runUntilAborted, waitUnlessAborted,
} from '@tanagerrail/membership';
import {
	createRelayRouter, createRelayServer, HostRoster, PlatformState, RelayClient, RelaySources, StateFollower,
} from '@tanagerrail/peers';
import {
	CrashTracker, EndpointDirectory, type CrashRecord, type DirectoryChange, type EndpointListing,
} from '@tanagerrail/routing';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import {createEndpointSource, createRouteSource, StoreClient} from '@tanagerrail/vihmavesi';
import type {EdgeSettings} from './edge-settings.js';
import {openServer} from './open-server.js';

const logger = createLogger('membership');

/** Host count assumed before the other hosts are discovered; it is high so that the hosts together stay within their shared budgets. */
const assumedHostCount = 60;

/** Length of the random id of each process run, in characters; it is short because every request between hosts contains it. */
const incarnationLength = 8;

/**
 * Delay after a restart before this host announces itself to the seeds, in milliseconds. Requests wait while a host starts,
 * so discovery must not slow down loading the configuration and the endpoints.
 */
const discoveryDelayMilliseconds = 600;

/** Time after a restart that other hosts get to announce themselves before the list of hosts is requested, in milliseconds. */
const restartDiscoveryMilliseconds = 400;

/** Interval between two reads of the endpoint registry, as a share of `drainMilliseconds`, the time in which a leaving endpoint may still get requests. */
const registryIntervalShare = 0.55;

/** Age at which the state received from another host is stale and this host reads the registry itself, as a share of `drainMilliseconds`. */
const maximumStateAgeShare = 0.68;

/**
 * Factor by which a host lengthens the pause between two calls to an unreachable store when another host precedes it as
 * reader of the store (see `RelaySources`). The preceding host detects first that the store is available again, and failed
 * calls also cost money.
 */
const successorRetryFactor = 3;

/** Pauses of the process that are detected. A shorter one is no longer than the usual interval between two reads of the state. */
const pauseDetection = {tickMilliseconds: 250, pauseThresholdMilliseconds: 1000};

/** Longest time after a pause for which requests wait for the state, in milliseconds. */
const recoveryMilliseconds = 250;

/** Interval at which requests that wait for the state check it, in milliseconds. */
const recoveryCheckMilliseconds = 5;

/** Options of {@link EdgePlatform}. */
export type EdgePlatformOptions = {
	readonly settings: EdgeSettings;
	readonly clock: Clock;
	/** Called after a newer configuration has been applied. */
	readonly onRoutes: (table: RouteTable) => void;
	/** Called after the endpoints have been read, whether they changed or not. */
	readonly onEndpoints: () => void;
};

/** Keeps the configuration, the endpoints and the list of hosts current, from the store or from the host that reads it. */
export class EdgePlatform {
	readonly directory: EndpointDirectory;
	/** Requests that crash endpoints, as counted by all hosts. */
	readonly crashes: CrashTracker;
	readonly #options: EdgePlatformOptions;
	#settings: EdgeSettings;
	readonly #store: StoreClient;
	readonly #routeFollower: RouteFollower;
	readonly #endpointFollower: EndpointFollower<EndpointListing>;
	readonly #state: PlatformState;
	readonly #relayClient = new RelayClient();
	readonly #relayServer: Server;
	readonly #stateFollower: StateFollower;
	readonly #roster: HostRoster;
	readonly #stopController = new AbortController();
	readonly #pauseDetector: PauseDetector;
	/** Ends the calls with which this host follows its sources. */
	#followController = new AbortController();
	/** Monotonic time of the end of the last pause, in milliseconds. */
	#resumedAt = -Infinity;
	/** The wait for the state after a pause; undefined if no request waits. */
	#recovery: Promise<void> | undefined;

	constructor(options: EdgePlatformOptions) {
		const {settings: {store, host: {isFirstStart, ...host}, bounds, listen}, clock, onRoutes, onEndpoints} = options;
		const self = {...host, peerAddress: listen.peers};
		const incarnation = crypto.randomUUID().slice(0, incarnationLength);
		const staleMilliseconds = maximumStateAgeShare * bounds.drainMilliseconds;
		this.#options = options;
		this.#settings = options.settings;
		this.#store = new StoreClient({address: store.address});
		this.directory = new EndpointDirectory({clock});
		this.crashes = new CrashTracker({
			clock,
			onChange: records => {
				this.#publishCrashes(records);
			},
		});
		this.#routeFollower = new RouteFollower({
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
			...(!isFirstStart && {discoveryMilliseconds: restartDiscoveryMilliseconds}),
		});
		this.#state = new PlatformState({
			clock,
			incarnation,
			directory: this.directory,
			routes: this.#routeFollower,
			roster: this.#roster,
			crashes: this.crashes,
			staleMilliseconds,
			hasSource: () => this.#stateFollower.hasSource,
			onEndpoints(changes) {
				logChanges(changes);
				onEndpoints();
			},
		});
		this.#endpointFollower = this.#createEndpointFollower();
		this.#stateFollower = new StateFollower({
			self,
			isFirstStart,
			isDiscoveryComplete: () => this.#roster.isDiscoveryComplete,
			state: this.#state,
			sources: new RelaySources({
				clock, hostId: host.id, failureDomain: host.failureDomain, listHosts: () => this.#roster.hosts,
			}),
			client: this.#relayClient,
			readStore: (signal, firstPauseMilliseconds) => {
				void runUntilAborted(async () => this.#routeFollower.run(signal, firstPauseMilliseconds), signal);
				void runUntilAborted(async () => this.#endpointFollower.run(signal, firstPauseMilliseconds), signal);
			},
			isStoreDown: () => !this.#endpointFollower.isConnected,
			getRevision: () => this.#routeFollower.current?.table.revision,
			staleMilliseconds,
		});
		this.#pauseDetector = new PauseDetector({
			clock,
			...pauseDetection,
			onPause: milliseconds => {
				this.#handlePause(milliseconds);
			},
		});
		this.#relayServer = createRelayServer(createRelayRouter({state: this.#state, roster: this.#roster, maximumWaitMilliseconds: staleMilliseconds}));
	}

	/** The current configuration. */
	get routes(): RouteIndex | undefined {
		return this.#routeFollower.current;
	}

	/** Whether the configuration and the endpoints have been loaded. */
	get isLoaded(): boolean {
		return this.#routeFollower.current !== undefined && this.directory.isLoaded;
	}

	/** Number of hosts that share the budgets. */
	get hostCount(): number {
		return this.#roster.count ?? assumedHostCount;
	}

	/** Starts to synchronize with the store or another host, and to serve the state to other hosts. */
	async start(): Promise<void> {
		const {signal} = this.#stopController;
		this.#pauseDetector.start();
		this.#followSources(this.#settings.host.isFirstStart);
		void runUntilAborted(async () => this.#runRoster(signal), signal);
		await openServer(this.#relayServer, this.#settings.listen.peers);
	}

	/**
	 * Applies changed settings.
	 *
	 * @param settings - The new settings; only the seeds are used.
	 */
	updateSettings(settings: EdgeSettings): void {
		this.#settings = settings;
	}

	/**
	 * Waits, after a pause of the process, until the state has been read again, because routes and endpoints may have changed. If
	 * no source responds in time, the last state is used.
	 */
	async waitForState(): Promise<void> {
		this.#pauseDetector.check();
		if (this.#isRecovering) {
			this.#recovery ??= this.#waitForRecovery();
			await this.#recovery;
		}
	}

	/** Stops synchronizing and closes all connections. */
	stop(): void {
		this.#stopController.abort();
		this.#pauseDetector.stop();
		this.#relayServer.close();
		this.#relayServer.closeAllConnections();
		this.#relayClient.close();
		this.#store.close();
	}

	/** Whether the state from before a pause may still be replaced by a newer one. */
	get #isRecovering(): boolean {
		return this.#options.clock() < this.#resumedAt + recoveryMilliseconds && !this.#hasRecovered;
	}

	/** Waits for the end of the recovery; all requests share one wait. */
	async #waitForRecovery(): Promise<void> {
		const {signal} = this.#stopController;
		while (this.#isRecovering && !signal.aborted) {
			await waitUnlessAborted(recoveryCheckMilliseconds, signal);
		}

		this.#recovery = undefined;
	}

	get #hasRecovered(): boolean {
		return this.#state.isCurrent && (!this.#stateFollower.isStoreReader || this.#routeFollower.readAt >= this.#resumedAt);
	}

	/** Follows the sources from the beginning; responses to earlier calls are ignored. */
	#followSources(isFirstRun: boolean): void {
		this.#followController.abort();
		this.#followController = new AbortController();
		const signal = AbortSignal.any([this.#stopController.signal, this.#followController.signal]);
		void runUntilAborted(async () => this.#stateFollower.run(signal, isFirstRun), signal);
	}

	/** Responses that arrived during a pause may be as old as the pause is long, so the state is read again. */
	#handlePause(milliseconds: number): void {
		logger.log(LogLevel.warn, 'host-paused', {milliseconds: Math.round(milliseconds)});
		this.#resumedAt = this.#options.clock();
		if (this.isLoaded) {
			this.#followSources(false);
		}
	}

	/** Passes crash records on: hosts that copy the state from this one are woken, and the host that this one copies from is told. */
	#publishCrashes(records: readonly CrashRecord[]): void {
		for (const {fingerprint, crashes} of records.filter(record => this.crashes.findRefusal(record.fingerprint))) {
			logger.log(LogLevel.warn, 'request-quarantined', {fingerprint, crashes});
		}

		this.#state.notify();
		this.#stateFollower.reportCrashes(records);
	}

	async #runRoster(signal: AbortSignal): Promise<void> {
		if (!this.#settings.host.isFirstStart) {
			await waitUnlessAborted(discoveryDelayMilliseconds, signal);
		}

		await this.#roster.run(signal);
	}

	#createEndpointFollower(): EndpointFollower<EndpointListing> {
		const {settings: {bounds}, clock, onEndpoints} = this.#options;
		return new EndpointFollower<EndpointListing>({
			source: createEndpointSource(this.#store),
			clock,
			intervalMilliseconds: registryIntervalShare * bounds.drainMilliseconds,
			onListing: (endpoints, version) => {
				logChanges(this.directory.update(endpoints));
				this.#state.markCurrent(version);
				onEndpoints();
			},
			getRetryFactor: () => this.#stateFollower.hasPredecessor ? successorRetryFactor : 1,
			onOutage: () => {
				this.#state.notify();
				this.#routeFollower.refresh();
			},
			onOutageEnd: wasAway => {
				this.#routeFollower.refresh();
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
