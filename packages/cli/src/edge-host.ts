import {createServer, type RequestListener, type Server} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {TrafficSplitter} from '@tanagerrail/configuration';
import {
	CallerListener, defaultRequestLimits, EndpointConnections, ProbeClient, RoutedReceiver, ServiceProfiles, type HeldConnection, type RoutedRequest,
} from '@tanagerrail/http';
import {AttemptBudget, EndpointSelector, ProbeBudget} from '@tanagerrail/routing';
import {
	createLogger, LogLevel, readMonotonicClock, TextMetrics,
} from '@tanagerrail/telemetry';
import {callerProtocol, endpointProtocol} from '@tanagerrail/vihmavesi';
import {EdgePlatform} from './edge-platform.js';
import type {EdgeSettings} from './edge-settings.js';
import {openServer, parseAddress} from './open-server.js';

const logger = createLogger('host');
const clock = readMonotonicClock;

/** Time after the signal to stop in which new connections may still arrive, in milliseconds. */
const lameDuckMilliseconds = 2300;

/** Time at the end of the shutdown that is kept for closing connections, in milliseconds. */
const closingMilliseconds = 300;

/** Time before the closing of connections in which the responses to requests that were given up go out, in milliseconds. */
const finalResponsesMilliseconds = 200;

/** Part of the probes that the endpoints allow which is used. */
const usableProbes = 0.6;

/** A host between callers and the endpoints that register in the platform's store. */
export class EdgeHost {
	#settings: EdgeSettings;
	readonly #platform: EdgePlatform;
	readonly #connections = new EndpointConnections({
		clock, connections: 64, connectTimeout: 250, idleTimeout: 30_000,
	});

	readonly #budgets = new Map<string, AttemptBudget>();
	readonly #selector: EndpointSelector<HeldConnection>;
	readonly #listener: CallerListener<RoutedRequest>;
	readonly #metrics = new TextMetrics();
	readonly #readinessServer: Server;
	readonly #metricsServer: Server;
	/** Since when the budgets have known what was spent, as monotonic time in milliseconds. */
	#budgetsSince = clock();
	#isStopping = false;
	#wasReady = false;

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
				this.#takeEndpoints();
			},
		});
		const probes = new ProbeClient({
			connections: this.#connections, protocol: endpointProtocol, findHealthPath: service => this.#platform.routes?.findService(service)?.healthPath,
		});
		const probeBudget = new ProbeBudget({clock, getRate: service => this.#getProbeRate(service)});
		this.#selector = new EndpointSelector({
			clock,
			failureDomain: settings.host.failureDomain,
			listEndpoints: service => this.#platform.directory.list(service),
			sendProbe: async endpoint => probes.probe(endpoint),
			takeProbe: service => probeBudget.take(service),
			isConnected: ({address}) => this.#connections.hasIdle(address),
		});
		this.#listener = this.#createListener();
		this.#readinessServer = createServer(this.#serveReadiness());
		this.#metricsServer = createServer(this.#serveMetrics());
	}

	/** Whether the host takes new connections. */
	get isReady(): boolean {
		return !this.#isStopping && this.#platform.isKnown;
	}

	/** Starts to listen and to follow the store. */
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
	 * Takes over settings that have changed; addresses stay as they were at the start.
	 *
	 * @param settings - The new settings.
	 */
	updateSettings(settings: EdgeSettings): void {
		this.#settings = settings;
		this.#budgets.clear();
		this.#budgetsSince = clock();
		this.#platform.updateSettings(settings);
		logger.log(LogLevel.info, 'settings-reloaded', {bounds: settings.bounds});
	}

	/** Shuts down gracefully: what has been read is answered, as far as the time for it allows. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		const startedAt = clock();
		const endsAt = startedAt + (this.#settings.bounds.shutdownSeconds * 1000) - closingMilliseconds;
		this.#isStopping = true;
		this.#listener.drain();
		logger.log(LogLevel.info, 'host-stopping', {inProgress: this.#listener.inProgress});
		await wait(lameDuckMilliseconds);
		this.#listener.stop();
		await this.#waitRequests(endsAt - finalResponsesMilliseconds);
		this.#listener.expireRequests();
		await this.#waitRequests(endsAt);

		logger.log(LogLevel.info, 'host-stopped', {cutOff: this.#listener.inProgress, milliseconds: Math.round(clock() - startedAt)});
		this.close();
	}

	/** Ends all work at once. */
	close(): void {
		this.#platform.stop();
		this.#listener.stop();
		this.#listener.abort();
		this.#readinessServer.close();
		this.#metricsServer.close();
		this.#connections.close();
	}

	/** Waits until no request is in progress or expected, or until a moment of the monotonic clock. */
	async #waitRequests(until: number): Promise<void> {
		while (this.#listener.inProgress + this.#listener.expected > 0 && clock() < until) {
			await wait(10);
		}
	}

	#createListener(): CallerListener<RoutedRequest> {
		return new CallerListener({
			clock,
			// Bodies may take as long as their callers wait.
			limits: {...defaultRequestLimits, requestMilliseconds: 0},
			receiver: new RoutedReceiver({
				clock,
				callers: callerProtocol,
				endpoints: endpointProtocol,
				connections: this.#connections,
				selector: this.#selector,
				splitter: new TrafficSplitter(),
				profiles: new ServiceProfiles(),
				meter: this.#metrics,
				getRoutes: () => this.#platform.routes,
				isReady: () => this.#platform.isKnown,
				getBudget: service => this.#getBudget(service),
			}),
		});
	}

	#takeEndpoints(): void {
		const {all} = this.#platform.directory;
		this.#selector.dropOthers(new Set(all.map(({id}) => id)));
		this.#connections.dropOthers(new Set(all.map(({address}) => address)));
		this.#logReadiness();
	}

	/** Routes and endpoints arrive in any order, and the last of them makes the host ready. */
	#logReadiness(): void {
		if (this.#wasReady || !this.isReady) {
			return;
		}

		this.#wasReady = true;
		logger.log(LogLevel.info, 'host-ready', {
			revision: this.#platform.routes?.table.revision, endpoints: this.#platform.directory.all.length, sinceStart: Math.round(clock()),
		});
	}

	#getBudget(service: string): AttemptBudget {
		const known = this.#budgets.get(service);
		if (known) {
			return known;
		}

		const {retryRatio, retrySlack, retryWindowSeconds} = this.#settings.bounds;
		const budget = new AttemptBudget({
			clock,
			ratio: retryRatio,
			slack: retrySlack,
			windowMilliseconds: retryWindowSeconds * 1000,
			getHostCount: () => this.#platform.hostCount,
			startedAt: this.#budgetsSince,
		});
		this.#budgets.set(service, budget);
		return budget;
	}

	#getProbeRate(service: string): number {
		return usableProbes * this.#settings.bounds.probesPerSecond * this.#platform.directory.list(service).length / this.#platform.hostCount;
	}

	#serveReadiness(): RequestListener {
		return (req, res) => {
			const isKnown = req.url === this.#settings.readinessPath;
			res.writeHead(isKnown ? (this.isReady ? 200 : 503) : 404).end();
		};
	}

	#serveMetrics(): RequestListener {
		return async (_, res) => {
			const text = await this.#metrics.render();
			res.writeHead(200, {'content-type': this.#metrics.contentType}).end(text);
		};
	}
}
