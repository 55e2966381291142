import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import process from 'node:process';
import type {Configuration} from '@tanagerrail/configuration';
import {
	AttemptPolicies, createServiceListener, createListenerServer, EndpointConnections, TlsFiles, type RequestContext,
} from '@tanagerrail/http';
import {HostDirectory, PauseDetector} from '@tanagerrail/membership';
import {
	AllocatorRegistry, SlotRouter, SlotServer, type HostStatus,
} from '@tanagerrail/peers';
import {
	createDynamoTable, createHttpHostList, createS3Objects, type ObjectStore, type TableService,
} from '@tanagerrail/platform';
import {
	createLogger, createMetrics, getViolationCounts, LogLevel, readMonotonicClock, setCommonLogFields, setLogFilter,
} from '@tanagerrail/telemetry';
import {ControlPlane} from './control-plane.js';
import {createHostClaims, type HostClaims} from './host-claims.js';
import {logFilterPath, serveLogFilter} from './host-controls.js';
import {HostLevels} from './host-levels.js';
import {HostMetrics} from './host-metrics.js';
import type {Settings} from './settings.js';

const logger = createLogger('host');
const clock = readMonotonicClock;

/** Ports on which a host listens. */
export type EntryHostPorts = {readonly callers: number; readonly peers: number; readonly admin: number};

/** Accepts callers' requests and forwards them to endpoints, using slots granted by the allocator of each service. */
export class EntryHost {
	readonly #settings: Settings;
	readonly #incarnation = randomUUID();
	readonly #directory: HostDirectory;
	readonly #registry: AllocatorRegistry;
	readonly #router: SlotRouter;
	readonly #slotServer: SlotServer;
	readonly #listener: ReturnType<typeof createServiceListener>;
	readonly #claims: HostClaims;
	readonly #connections = new EndpointConnections({
		clock, connections: 200, connectTimeout: 250, idleTimeout: 30_000,
	});

	readonly #objects: ObjectStore | undefined;
	readonly #levels: HostLevels;
	readonly #metrics: HostMetrics;
	readonly #peerServer: Server;
	readonly #adminServer: Server;
	readonly #pauseDetector: PauseDetector;
	readonly #policies = new AttemptPolicies({getConfiguration: () => this.#control.keeper.lastConfiguration});
	readonly #table: TableService | undefined;
	readonly #control: ControlPlane;
	#isStopping = false;

	constructor(settings: Settings, configuration?: Configuration) {
		this.#settings = settings;
		const {host, keys, platform, metrics, listen, limits} = settings;
		const callerTls = listen.callers.tls && new TlsFiles(listen.callers.tls);
		const peerTls = listen.peers.tls && new TlsFiles(listen.peers.tls);
		const getAuthority = peerTls && (() => peerTls.contents?.authority);
		setCommonLogFields({host: host.id, failureDomain: host.failureDomain});
		setLogFilter(settings.log.filter);
		this.#objects = platform.objects && createS3Objects({...platform.objects, ...(platform.credentials && {credentials: platform.credentials})});
		const getRevision = () => this.#control.keeper.revision;
		const onRevision = (revision: number, hostId: string) => {
			this.#control.keeper.handleAnnouncedRevision(revision, hostId);
		};

		this.#directory = new HostDirectory({hostList: createHttpHostList({url: platform.hostList.url}), clock});
		this.#levels = new HostLevels({
			hostId: host.id, incarnation: this.#incarnation, getConfiguration: () => this.#control.keeper.lastConfiguration, directory: this.#directory, objects: this.#objects,
		});
		this.#table = platform.table && createDynamoTable({url: platform.table.url, table: platform.table.name, ...(platform.credentials && {credentials: platform.credentials})});
		this.#control = new ControlPlane({
			settings, directory: this.#directory, clock, table: this.#table, initial: configuration,
			onApplied: () => {
				this.#registry.updateConfiguration();
				this.#router.connect();
			},
			describeHost: () => this.#describeHost(),
			levels: this.#levels,
			getAuthority,
		});
		// Must be created after the control plane, because computing the write budget reads the configuration immediately.
		this.#claims = createHostClaims({
			settings, incarnation: this.#incarnation, directory: this.#directory, getConfiguration: () => this.#control.keeper.lastConfiguration,
		});
		this.#registry = new AllocatorRegistry({
			hostId: host.id,
			directory: this.#directory,
			clock,
			getConfiguration: () => this.#control.keeper.lastConfiguration,
			onCost: (service, cost) => {
				this.#levels.recorder.recordCost(service, cost);
				this.#metrics.recordCost(service, cost);
			},
		});
		this.#pauseDetector = new PauseDetector({
			clock,
			onPause: milliseconds => {
				this.#handlePause(milliseconds);
			},
		});
		this.#router = new SlotRouter({
			hostId: host.id,
			incarnation: this.#incarnation,
			failureDomain: host.failureDomain,
			directory: this.#directory,
			registry: this.#registry,
			clock,
			key: keys.peers[0]!,
			getAuthority,
			getServices: () => (this.#control.keeper.lastConfiguration?.services ?? []).map(({name}) => name),
			getRevision,
			onRevision,
			checkPause: () => {
				this.#pauseDetector.check();
			},
		});
		this.#peerServer = createListenerServer({}, peerTls).on('request', (req, res) => {
			if (!this.#control.handlePeer(req, res)) {
				res.writeHead(404).end();
			}
		});
		this.#slotServer = new SlotServer({
			server: this.#peerServer, registry: this.#registry, directory: this.#directory, keys: keys.peers, getRevision, onRevision,
		});
		this.#adminServer = createServer((req, res) => {
			this.#handleAdmin(req, res);
		});
		const client = createMetrics({host: metrics.address, port: metrics.port, tags: {host: host.id}});
		this.#listener = createServiceListener({limits, tls: callerTls, context: this.#createContext(client)});
		this.#metrics = new HostMetrics({metrics: client, clock, getInProgress: () => this.#listener.inProgress});
	}

	/** Whether the host accepts new requests. */
	get isReady(): boolean {
		return !this.#isStopping && this.#control.keeper.isReady;
	}

	/**
	 * Starts to listen and to read the host list.
	 *
	 * @returns The ports in use.
	 */
	async start(): Promise<EntryHostPorts> {
		const {listen} = this.#settings;
		this.#pauseDetector.start();
		this.#levels.start();
		this.#metrics.start();
		await this.#directory.start();
		// Must complete before peers can connect, because an allocator without a configuration refuses their requests.
		await this.#control.keeper.start();
		const peers = await openListener(this.#peerServer, listen.peers);
		const admin = await openListener(this.#adminServer, listen.admin);
		const callers = await this.#listener.start({host: listen.callers.address, port: listen.callers.port});
		logger.log(LogLevel.info, 'host-started', {
			incarnation: this.#incarnation, callers, peers, admin,
		});
		return {callers, peers, admin};
	}

	/** Shuts down gracefully: aborts requests in progress only when the shutdown time of the settings has elapsed. */
	async stop(): Promise<void> {
		const {lameDuckMilliseconds, shutdownMilliseconds} = this.#settings.shutdown;
		const startedAt = clock();
		this.#isStopping = true;
		logger.log(LogLevel.info, 'host-stopping');
		this.#slotServer.sendGoodbye();
		// Moves this host's own requests to the next allocator too; otherwise both allocators would grant the same slots.
		this.#directory.recordGoodbye(this.#settings.host.id);
		this.#listener.drain();
		await waitMilliseconds(lameDuckMilliseconds);
		this.#listener.stop();
		let loggedAt = clock();
		while (this.#listener.inProgress + this.#listener.connectionsAwaitingClose > 0 && clock() - startedAt < shutdownMilliseconds) {
			await waitMilliseconds(10);
			if (clock() - loggedAt >= 1000) {
				loggedAt = clock();
				logger.log(LogLevel.info, 'host-waiting', {requests: this.#listener.inProgress});
			}
		}

		await this.#claims.close(shutdownMilliseconds - (clock() - startedAt));
		await this.#levels.stop();
		logger.log(LogLevel.info, 'host-stopped', {cutOff: this.#listener.inProgress});
		this.#close();
	}

	#close(): void {
		this.#listener.abort();
		this.#control.keeper.stop();
		this.#table?.close();
		this.#router.close();
		this.#slotServer.close();
		this.#registry.stop();
		this.#directory.stop();
		this.#pauseDetector.stop();
		this.#connections.close();
		this.#objects?.close();
		this.#metrics.stop();
		this.#peerServer.close();
		this.#adminServer.close();
		this.#adminServer.closeAllConnections();
	}

	#createContext(metrics: RequestContext['metrics']): RequestContext {
		return {
			hostId: this.#settings.host.id,
			clock,
			slots: this.#router,
			connections: this.#connections,
			claims: this.#claims.service,
			metrics,
			getConfiguration: () => this.#control.keeper.configuration,
			waitConfiguration: async () => this.#control.keeper.waitForRefresh(),
			getRetryBudget: service => this.#policies.getRetryBudget(service),
			getHedgePolicy: match => this.#policies.getHedgePolicy(match),
			record: record => {
				this.#levels.record(record);
			},
		};
	}

	#handlePause(milliseconds: number): void {
		logger.log(LogLevel.warn, 'host-paused', {milliseconds: Math.round(milliseconds)});
		this.#router.reset();
		this.#slotServer.close();
		this.#registry.reset();
		void this.#control.keeper.refresh();
	}

	#describeHost(): HostStatus {
		const {id, failureDomain} = this.#settings.host;
		return {
			hostId: id,
			failureDomain,
			incarnation: this.#incarnation,
			revision: this.#control.keeper.revision,
			isReady: this.isReady,
			peers: this.#router.links.map(({peerId, state}) => ({hostId: peerId, state})),
			services: this.#registry.describe(),
			violations: getViolationCounts(),
		};
	}

	#handleAdmin(req: IncomingMessage, res: ServerResponse): void {
		if (req.url === '/-/health') {
			res.writeHead(200).end('alive\n');
			return;
		}

		if (req.url === '/-/ready') {
			res.writeHead(this.isReady ? 200 : 503).end(this.isReady ? 'ready\n' : 'not ready\n');
			return;
		}

		if (req.url === logFilterPath) {
			void serveLogFilter(req, res, this.#settings.keys.admin);
			return;
		}

		if (!this.#control.handleOperator(req, res)) {
			res.writeHead(404).end();
		}
	}
}

async function openListener(server: Server, {address, port}: {address: string; port: number}): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, resolve);
	});
	const bound = server.address();
	return typeof bound === 'object' && bound ? bound.port : port;
}

async function waitMilliseconds(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
