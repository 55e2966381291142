import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	AnswersManager, ConfigurationSynchronizer, RevisionStore, type Configuration,
} from '@tanagerrail/configuration';
import type {HostDirectory} from '@tanagerrail/membership';
import {
	createControlHandler, createOperatorRouter, createPeerControlRouter, operatorControlPath, PeerControlClients, peerControlPath, RevisionAnnouncer,
	type ControlHandler, type HostStatus, type LevelCalls, type ReportedStatus,
} from '@tanagerrail/peers';
import type {TableService} from '@tanagerrail/platform';
import type {Clock} from '@tanagerrail/telemetry';
import type {Settings} from './settings.js';

/** Options of {@link ControlPlane}. */
export type ControlPlaneOptions = {
	readonly settings: Settings;
	readonly directory: HostDirectory;
	readonly clock: Clock;
	readonly random: () => number;
	/** The table service; `undefined` when none is configured. */
	readonly table: TableService | undefined;
	/** Not used; calls to peers use `getAuthority`. */
	readonly getPeerAuthority?: () => string | undefined;
	/** Configuration that is used until a revision has been loaded. */
	readonly initial: Configuration | undefined;
	/** Called after another configuration has been applied. */
	readonly onApplied: () => void;
	readonly describeHost: () => HostStatus;
	readonly levels: LevelCalls;
	/** Returns the certificate authorities of peers as PEM; calls to peers use TLS when it is given. */
	readonly getAuthority?: () => string | undefined;
};

/** Keeps the configuration of one host current and serves the control calls of its peers and operators. */
export class ControlPlane {
	readonly keeper: ConfigurationSynchronizer;
	readonly #options: ControlPlaneOptions;
	readonly #clients: PeerControlClients;
	readonly #handlePeer: ControlHandler;
	readonly #handleOperator: ControlHandler;

	constructor(options: Omit<ControlPlaneOptions, 'random'> & Partial<ControlPlaneOptions>) {
		this.#options = {random: Math.random, ...options};
		const {settings: {host, keys, shutdown}, directory, clock, table, initial, onApplied, describeHost, levels, getAuthority} = options;
		const store = table && new RevisionStore({table});
		this.#clients = new PeerControlClients({directory, key: keys.peers[0]!, getAuthority});
		this.keeper = new ConfigurationSynchronizer({
			clock,
			readCurrent: store && (() => store.readCurrent()),
			fetchFromPeer: hostId => this.#clients.fetchRevision(hostId),
			listPeers: () => this.#listPeers(),
			initial,
			onApplied,
		});
		const announcer = new RevisionAnnouncer({
			hostId: host.id, directory, clients: this.#clients, clock,
		});
		this.#handlePeer = createControlHandler({
			router: createPeerControlRouter({keeper: this.keeper, describeHost}), path: peerControlPath, keys: keys.peers,
		});
		const manager = store && new AnswersManager({store, limits: {shutdownMilliseconds: shutdown.shutdownMilliseconds}});
		this.#handleOperator = createControlHandler({
			router: createOperatorRouter({
				answers: store && manager && {manager, store}, keeper: this.keeper, announcer, collectStatus: async () => this.#collectStatus(), levels,
			}),
			path: operatorControlPath,
			keys: keys.admin,
		});
	}

	/**
	 * Handles a request on the peer address if it is a control call.
	 *
	 * @param req - The request.
	 * @param res - Its response.
	 * @returns Whether the request was a control call.
	 */
	handlePeer(req: IncomingMessage, res: ServerResponse): boolean {
		return this.#handlePeer(req, res);
	}

	/**
	 * Handles a request on the admin address if it is a control call.
	 *
	 * @param req - The request.
	 * @param res - Its response.
	 * @returns Whether the request was a control call.
	 */
	handleOperator(req: IncomingMessage, res: ServerResponse): boolean {
		return this.#handleOperator(req, res);
	}

	/** Lists the other live hosts in random order, so that hosts that restart together send their calls to different peers. */
	#listPeers(): string[] {
		const {directory, settings, random} = this.#options;
		return directory.listEntryHosts()
			.filter(({id}) => id !== settings.host.id)
			.map(({id}) => ({id, rank: random()}))
			.sort((left, right) => left.rank - right.rank)
			.map(({id}) => id);
	}

	async #collectStatus(): Promise<ReportedStatus[]> {
		const {describeHost, settings} = this.#options;
		const own: ReportedStatus = {hostId: settings.host.id, status: describeHost()};
		const others = await Promise.all(this.#listPeers().map(async (hostId): Promise<ReportedStatus> => {
			const fetched = await this.#clients.fetchStatus(hostId);
			return fetched.isOk() ? {hostId, status: fetched.value} : {hostId, failure: fetched.error};
		}));
		return [own, ...others].sort((left, right) => left.hostId < right.hostId ? -1 : 1);
	}
}
