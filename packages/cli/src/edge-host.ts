import {createServer, type RequestListener, type Server} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {TrafficSplitter, type RouteTable} from '@tanagerrail/configuration';
import {
	CallerListener, defaultRequestLimits, EndpointConnections, ProbeClient, RoutedReceiver, ServiceProfiles, type HeldConnection, type RoutedRequest,
} from '@tanagerrail/http';
import {EndpointFollower, RouteFollower, type HostRegistry} from '@tanagerrail/membership';
import {
	AttemptBudget, EndpointDirectory, EndpointSelector, ProbeBudget, type EndpointListing,
} from '@tanagerrail/routing';
import {
	createLogger, LogLevel, readMonotonicClock, TextMetrics,
} from '@tanagerrail/telemetry';
import {
	callerProtocol, createEndpointSource, createHostRegistry, createRouteSource, endpointProtocol, StoreClient,
} from '@tanagerrail/vihmavesi';
import type {EdgeSettings} from './edge-settings.js';

const logger = createLogger('host');
const clock = readMonotonicClock;

/** Number of hosts that is assumed until the registry has told it. */
const assumedHosts = 24;

/** Time between two readings of the number of hosts, in milliseconds. */
const hostCountMilliseconds = 20_000;

/** Time after the signal to stop in which new connections may still arrive, in milliseconds. */
const lameDuckMilliseconds = 2300;

/** Time at the end of the shutdown that is kept for closing connections, in milliseconds. */
const closingMilliseconds = 300;

/** Part of the probes that the endpoints allow which is used. */
const usableProbes = 0.6;

/** Part of the time in which a leaving endpoint may still get requests after which the registry is read again. */
const registryShare = 0.55;

/** A host between callers and the endpoints that register in the platform's store. */
export class EdgeHost {
	#settings: EdgeSettings;
	readonly #store: StoreClient;
	readonly #registry: HostRegistry;
	readonly #directory = new EndpointDirectory({clock});
	readonly #routes: RouteFollower;
	readonly #endpoints: EndpointFollower<EndpointListing>;
	readonly #connections = new EndpointConnections({
		clock, connections: 64, connectTimeout: 250, idleTimeout: 30_000,
	});

	readonly #budgets = new Map<string, AttemptBudget>();
	readonly #selector: EndpointSelector<HeldConnection>;
	readonly #listener: CallerListener<RoutedRequest>;
	readonly #metrics = new TextMetrics();
	readonly #readinessServer: Server;
	readonly #metricsServer: Server;
	#hosts = assumedHosts;
	#isStopping = false;
	#wasReady = false;

	constructor(settings: EdgeSettings) {
		this.#settings = settings;
		this.#store = new StoreClient({address: settings.store.address});
		this.#registry = createHostRegistry(this.#store);
		this.#routes = new RouteFollower({
			source: createRouteSource(this.#store),
			clock,
			onApplied: table => {
				this.#applyLimits(table);
			},
		});
		this.#endpoints = this.#createEndpointFollower();
		const probes = new ProbeClient({
			connections: this.#connections, protocol: endpointProtocol, findHealthPath: service => this.#routes.current?.findService(service)?.healthPath,
		});
		const probeBudget = new ProbeBudget({clock, getRate: service => this.#getProbeRate(service)});
		this.#selector = new EndpointSelector({
			clock,
			failureDomain: settings.host.failureDomain,
			listEndpoints: service => this.#directory.list(service),
			sendProbe: async endpoint => probes.probe(endpoint),
			takeProbe: service => probeBudget.take(service),
		});
		this.#listener = this.#createListener();
		this.#readinessServer = createServer(this.#serveReadiness());
		this.#metricsServer = createServer(this.#serveMetrics());
	}

	/** Whether the host takes new connections. */
	get isReady(): boolean {
		return !this.#isStopping && this.#isInformed;
	}

	get #isInformed(): boolean {
		return this.#routes.current !== undefined && this.#directory.isKnown;
	}

	/** Starts to listen and to follow the store. */
	async start(): Promise<void> {
		const {listen} = this.#settings;
		void this.#routes.run();
		void this.#endpoints.run();
		void this.#countHosts();
		await Promise.all([
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
		while (this.#listener.inProgress > 0 && clock() < endsAt) {
			await wait(10);
		}

		logger.log(LogLevel.info, 'host-stopped', {cutOff: this.#listener.inProgress, milliseconds: Math.round(clock() - startedAt)});
		this.close();
	}

	/** Ends all work at once. */
	close(): void {
		this.#routes.stop();
		this.#endpoints.stop();
		this.#listener.stop();
		this.#listener.abort();
		this.#readinessServer.close();
		this.#metricsServer.close();
		this.#store.close();
		this.#connections.close();
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
				getRoutes: () => this.#routes.current,
				isReady: () => this.#isInformed,
				getBudget: service => this.#getBudget(service),
			}),
		});
	}

	#createEndpointFollower(): EndpointFollower<EndpointListing> {
		return new EndpointFollower<EndpointListing>({
			source: createEndpointSource(this.#store),
			clock,
			intervalMilliseconds: registryShare * this.#settings.bounds.drainMilliseconds,
			onListing: endpoints => {
				this.#takeListing(endpoints);
			},
			onOutage: () => {
				this.#routes.refresh();
			},
			onOutageEnd: wasAway => {
				this.#routes.refresh();
				if (wasAway) {
					this.#directory.handleOutageEnd();
				}
			},
		});
	}

	#takeListing(endpoints: readonly EndpointListing[]): void {
		for (const {kind, endpoint} of this.#directory.update(endpoints)) {
			const {id, service, address, failureDomain, startedAt, sequence} = endpoint;
			logger.log(LogLevel.info, 'endpoint-listed', {
				endpoint: id, change: kind, service, address, endpointDomain: failureDomain, startedAt, sequence,
			});
		}

		this.#selector.dropOthers(new Set(this.#directory.all.map(({id}) => id)));
		this.#logReadiness();
	}

	#applyLimits({limits}: RouteTable): void {
		this.#listener.updateLimits(limits);
		this.#logReadiness();
	}

	/** Routes and endpoints arrive in any order, and the last of them makes the host ready. */
	#logReadiness(): void {
		if (this.#wasReady || !this.isReady) {
			return;
		}

		this.#wasReady = true;
		logger.log(LogLevel.info, 'host-ready', {
			revision: this.#routes.current?.table.revision, endpoints: this.#directory.all.length, sinceStart: Math.round(clock()),
		});
	}

	#getBudget(service: string): AttemptBudget {
		const known = this.#budgets.get(service);
		if (known) {
			return known;
		}

		const {retryRatio, retrySlack, retryWindowSeconds} = this.#settings.bounds;
		const budget = new AttemptBudget({
			clock, ratio: retryRatio, slack: retrySlack, windowMilliseconds: retryWindowSeconds * 1000, getHostCount: () => this.#hosts,
		});
		this.#budgets.set(service, budget);
		return budget;
	}

	#getProbeRate(service: string): number {
		return usableProbes * this.#settings.bounds.probesPerSecond * this.#directory.list(service).length / this.#hosts;
	}

	async #countHosts(): Promise<void> {
		const registered = await this.#registry.registerHost(this.#settings.host.id);
		while (!this.#isStopping) {
			await wait(hostCountMilliseconds / 10, undefined, {ref: false});
			const counted = registered.isOk() ? await this.#registry.countHosts() : undefined;
			if (counted?.isOk()) {
				this.#hosts = Math.max(1, counted.value);
			}

			await wait(hostCountMilliseconds, undefined, {ref: false});
		}
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

function parseAddress(address: string): {host: string; port: number} {
	const [host = '', port = '0'] = address.split(':');
	return {host, port: Number(port)};
}

async function openServer(server: Server, address: string): Promise<void> {
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}
