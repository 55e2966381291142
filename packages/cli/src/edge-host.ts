import {createServer, type RequestListener, type Server} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {TrafficSplitter} from '@tanagerrail/configuration';
import {
	BodyBudget, CallerListener, CrashDetector, defaultRequestLimits, EndpointConnections, ProbeClient, RoutedReceiver, ServiceProfiles, type HeldConnection, type RoutedRequest,
} from '@tanagerrail/http';
import {
	AttemptBudget, EndpointAvailability, EndpointSelector, ProbeBudget,
} from '@tanagerrail/routing';
import {
	createLogger, LogLevel, readMonotonicClock, PrometheusMetrics,
} from '@tanagerrail/telemetry';
import {callerProtocol, endpointProtocol} from '@tanagerrail/vihmavesi';
import {EdgePlatform} from './edge-platform.js';
import type {EdgeSettings} from './edge-settings.js';
import {openServer, parseAddress} from './open-server.js';

const logger = createLogger('host');
const clock = readMonotonicClock;

/** Time after SIGTERM during which new connections are still accepted, in milliseconds. */
const lameDuckMilliseconds = 2300;

/** Time reserved at the end of the shutdown for closing connections, in milliseconds. */
const connectionCloseMilliseconds = 300;

/** Time for sending the responses to aborted requests, in milliseconds; it precedes the time for closing connections. */
const finalResponsesMilliseconds = 200;

/** Share of the permitted probe rate (`probesPerSecond` per endpoint) that all hosts together use. */
const usableProbeShare = 0.6;

/** Share of the memory of this host that request bodies may take. */
const bodyMemoryShare = 0.3;

const bytesPerMegabyte = 1_000_000;

/** Share of the drain time for which a leaving endpoint may still get requests while its service has no other endpoint. */
const leavingUseShare = 0.5;

/** Log events of the notices of endpoints. */
const noticeEvents = {leaving: 'endpoint-leaving', paused: 'endpoint-paused'} as const;

/** Forwards callers' requests to the endpoints that are registered in the platform's store. */
export class EdgeHost {
	#settings: EdgeSettings;
	readonly #platform: EdgePlatform;
	readonly #connections = new EndpointConnections({
		clock, connections: 64, connectTimeout: 250, idleTimeout: 30_000,
	});

	readonly #availability = new EndpointAvailability({
		clock,
		getLeavingMilliseconds: () => leavingUseShare * this.#settings.bounds.drainMilliseconds,
		onChange: ({endpoint: {id, service, startedAt}, kind, milliseconds}) => {
			this.#metrics.countNotice(service, kind);
			logger.log(LogLevel.info, noticeEvents[kind], {
				endpoint: id, service, startedAt, ...(kind === 'paused' && {milliseconds: Math.round(milliseconds)}),
			});
		},
	});

	readonly #retryBudgets = new Map<string, AttemptBudget>();
	readonly #selector: EndpointSelector<HeldConnection>;
	readonly #crashDetector: CrashDetector;
	readonly #listener: CallerListener<RoutedRequest>;
	readonly #metrics = new PrometheusMetrics();
	readonly #readinessServer: Server;
	readonly #metricsServer: Server;
	/** Time at which the retry budgets began to count attempts, as monotonic time in milliseconds. */
	#budgetsStartedAt = clock();
	#isStopping = false;
	#hasLoggedReadiness = false;

	constructor(settings: EdgeSettings) {
		this.#settings = settings;
		this.#platform = new EdgePlatform({
			settings,
			clock,
			onRoutes: ({limits}) => {
				this.#listener.updateLimits(limits);
				this.#logReadiness();
			},
			onEndpoints: () => {
				this.#handleEndpointChanges();
			},
		});
		const probes = new ProbeClient({
			connections: this.#connections, protocol: endpointProtocol, findHealthPath: service => this.#platform.routes?.findService(service)?.healthPath,
		});
		const probeBudget = new ProbeBudget({clock, getRate: service => this.#getProbeRate(service)});
		this.#crashDetector = new CrashDetector({
			tracker: this.#platform.crashes,
			sendProbe: async endpoint => probes.probe(endpoint),
			takeProbe: service => probeBudget.take(service),
			isAvailable: endpoint => this.#availability.isAvailable(endpoint),
		});
		this.#selector = new EndpointSelector({
			clock,
			failureDomain: settings.host.failureDomain,
			availability: this.#availability,
			listEndpoints: service => this.#platform.directory.list(service),
			sendProbe: async endpoint => probes.probe(endpoint),
			takeProbe: service => probeBudget.take(service),
			isConnected: ({address}) => this.#connections.hasIdle(address),
		});
		this.#listener = this.#createListener();
		this.#readinessServer = createServer(this.#serveReadiness());
		this.#metricsServer = createServer(this.#serveMetrics());
	}

	/** Whether the host accepts new connections. */
	get isReady(): boolean {
		return !this.#isStopping && this.#platform.isLoaded;
	}

	/** Starts the servers and begins to read configuration and endpoints. */
	async start(): Promise<void> {
		const {listen} = this.#settings;
		await Promise.all([
			this.#platform.start(),
			this.#listener.start(parseAddress(listen.callers)),
			openServer(this.#readinessServer, listen.readiness),
			openServer(this.#metricsServer, listen.metrics),
		]);
		logger.log(LogLevel.info, 'host-started', {listen});
	}

	/**
	 * Applies changed settings. Changed addresses take effect only after a restart.
	 *
	 * @param settings - The new settings.
	 */
	updateSettings(settings: EdgeSettings): void {
		this.#settings = settings;
		this.#retryBudgets.clear();
		this.#budgetsStartedAt = clock();
		this.#platform.updateSettings(settings);
		logger.log(LogLevel.info, 'settings-reloaded', {bounds: settings.bounds});
	}

	/** Shuts down gracefully: responds to every request that has been received, as far as the shutdown time permits. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		const startedAt = clock();
		const endsAt = startedAt + (this.#settings.bounds.shutdownSeconds * 1000) - connectionCloseMilliseconds;
		this.#isStopping = true;
		this.#listener.drain();
		logger.log(LogLevel.info, 'host-stopping', {inProgress: this.#listener.inProgress});
		await wait(lameDuckMilliseconds);
		this.#listener.stop();
		await this.#waitForRequests(endsAt - finalResponsesMilliseconds);
		this.#listener.abortRequests();
		await this.#waitForRequests(endsAt);

		const {inProgress: cutOff, connectionsAwaitingClose: unconfirmed} = this.#listener;
		logger.log(LogLevel.info, 'host-stopped', {cutOff, unconfirmed, milliseconds: Math.round(clock() - startedAt)});
		this.close();
	}

	/** Closes all servers and connections immediately. */
	close(): void {
		this.#platform.stop();
		this.#listener.stop();
		this.#listener.abort();
		this.#readinessServer.close();
		this.#metricsServer.close();
		this.#connections.close();
	}

	/**
	 * Waits until no request is in progress, no connection awaits its first request and all callers have received their last
	 * response, but no longer than until the given monotonic time in milliseconds.
	 */
	async #waitForRequests(until: number): Promise<void> {
		const listener = this.#listener;
		while (listener.inProgress + listener.connectionsAwaitingRequest + listener.connectionsAwaitingClose > 0 && clock() < until) {
			await wait(10);
		}
	}

	#createListener(): CallerListener<RoutedRequest> {
		return new CallerListener({
			clock,
			// A request body may take as long as its caller waits for the response.
			limits: {...defaultRequestLimits, requestMilliseconds: 0},
			receiver: new RoutedReceiver({
				clock,
				callers: callerProtocol,
				endpoints: endpointProtocol,
				connections: this.#connections,
				selector: this.#selector,
				crashDetector: this.#crashDetector,
				splitter: new TrafficSplitter(),
				profiles: new ServiceProfiles(),
				meter: this.#metrics,
				bodyBudget: new BodyBudget(() => bodyMemoryShare * bytesPerMegabyte * this.#settings.host.memoryMegabytes),
				getRoutes: () => this.#platform.routes,
				isReady: () => this.#platform.isLoaded,
				waitForState: async () => this.#platform.waitForState(),
				getBudget: service => this.#getRetryBudget(service),
			}),
		});
	}

	#handleEndpointChanges(): void {
		const {all} = this.#platform.directory;
		this.#selector.dropRecordsExcept(all);
		this.#connections.dropUnused(new Set(all.map(({address}) => address)));
		this.#logReadiness();
	}

	/** Logs once that the host is ready. Routes and endpoints are loaded in any order, so this is called after each. */
	#logReadiness(): void {
		if (this.#hasLoggedReadiness || !this.isReady) {
			return;
		}

		this.#hasLoggedReadiness = true;
		logger.log(LogLevel.info, 'host-ready', {
			revision: this.#platform.routes?.table.revision, endpoints: this.#platform.directory.all.length, sinceStart: Math.round(clock()),
		});
	}

	#getRetryBudget(service: string): AttemptBudget {
		const existing = this.#retryBudgets.get(service);
		if (existing) {
			return existing;
		}

		const {retryRatio, retrySlack, retryWindowSeconds} = this.#settings.bounds;
		const budget = new AttemptBudget({
			clock,
			ratio: retryRatio,
			slack: retrySlack,
			windowMilliseconds: retryWindowSeconds * 1000,
			getHostCount: () => this.#platform.hostCount,
			startedAt: this.#budgetsStartedAt,
		});
		this.#retryBudgets.set(service, budget);
		return budget;
	}

	#getProbeRate(service: string): number {
		return usableProbeShare * this.#settings.bounds.probesPerSecond * this.#platform.directory.list(service).length / this.#platform.hostCount;
	}

	#serveReadiness(): RequestListener {
		return (req, res) => {
			const isReadinessPath = req.url === this.#settings.readinessPath;
			res.writeHead(isReadinessPath ? (this.isReady ? 200 : 503) : 404).end();
		};
	}

	#serveMetrics(): RequestListener {
		return async (_, res) => {
			const text = await this.#metrics.render();
			res.writeHead(200, {'content-type': this.#metrics.contentType}).end(text);
		};
	}
}
