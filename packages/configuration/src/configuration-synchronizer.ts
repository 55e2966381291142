import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';
import {
	checkInvariant, createLogger, LogLevel, type Clock,
} from '@tanagerrail/telemetry';
import type {Configuration} from './configuration.js';
import {generateConfiguration} from './generate-configuration.js';
import {parseAnswers} from './parse-answers.js';
import type {RevisionRecord} from './revision-record.js';

const logger = createLogger('configuration');

/** Options of {@link ConfigurationSynchronizer}. */
export type ConfigurationSynchronizerOptions = {
	readonly clock: Clock;
	/** Reads the latest accepted change from the table service; if absent, the host gets changes from its peers only. */
	readonly readCurrent?: () => ResultAsync<RevisionRecord | undefined, Failure>;
	/** Fetches the accepted change that is in force on a peer. */
	readonly fetchFromPeer: (hostId: string) => ResultAsync<RevisionRecord | undefined, Failure>;
	/** Lists the host ids of the peers that may be queried. */
	readonly listPeers: () => readonly string[];
	/** Configuration to use until a revision has been read. */
	readonly initial?: Configuration;
	/** Called after each change of the configuration in force. */
	readonly onApplied: (configuration: Configuration) => void;
	/** Interval between reads of the table service, in milliseconds. */
	readonly pollIntervalMilliseconds: number;
	/** Longest time that a refresh waits for the table service and the peers, in milliseconds. */
	readonly refreshTimeoutMilliseconds: number;
	/** Number of peers queried by a refresh, and by each poll until a revision is in force. */
	readonly peersQueried: number;
};

/** Defaults of {@link ConfigurationSynchronizerOptions}. */
export const defaultConfigurationSynchronizerOptions = {
	pollIntervalMilliseconds: 1000, refreshTimeoutMilliseconds: 250, peersQueried: 3, onApplied() {/* No listener by default. */},
};

/** Keeps the configuration of a host at the highest accepted revision, read from the table service and from peers. */
export class ConfigurationSynchronizer {
	readonly #options: ConfigurationSynchronizerOptions;
	/** By host id, the highest revision that the peer announced, if it is higher than the revision of this host. */
	readonly #announcedRevisions = new Map<string, number>();
	readonly #fetching = new Set<string>();
	#record: RevisionRecord | undefined;
	#configuration: Configuration | undefined;
	#isRefreshing = true;
	#refreshCount = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;
	#pendingRefresh: Promise<void> = Promise.resolve();

	constructor(options: Partial<ConfigurationSynchronizerOptions> & Pick<ConfigurationSynchronizerOptions, 'clock' | 'fetchFromPeer' | 'listPeers'>) {
		this.#options = {...defaultConfigurationSynchronizerOptions, ...options};
		this.#configuration = this.#options.initial;
	}

	/** The configuration in force; `undefined` before the first one and during a refresh. */
	get configuration(): Configuration | undefined {
		return this.#isRefreshing ? undefined : this.#configuration;
	}

	/**
	 * The last configuration that was in force, also available during a refresh. It is used to count the slots in use; new
	 * requests use {@link configuration}.
	 */
	get lastConfiguration(): Configuration | undefined {
		return this.#configuration;
	}

	/** Number of the revision in force; 0 if there is none. */
	get revision(): number {
		return this.#record?.revision ?? 0;
	}

	/** The accepted change in force, as sent to peers. */
	get record(): RevisionRecord | undefined {
		return this.#record;
	}

	/** Whether a configuration is in force and no refresh is running, so that the host can serve requests. */
	get isReady(): boolean {
		return this.configuration !== undefined;
	}

	/** Queries the table service and the peers, then starts polling. */
	async start(): Promise<void> {
		await this.refresh();
		this.#schedule();
	}

	/** Stops polling. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** Waits for the running refresh, so that requests need not be refused meanwhile. */
	async waitForRefresh(): Promise<void> {
		await this.#pendingRefresh;
	}

	/** Queries the table service and some peers; needed before requests are served after a start or a pause of the process. */
	async refresh(): Promise<void> {
		this.#pendingRefresh = this.#runRefresh();
		await this.#pendingRefresh;
	}

	/**
	 * Handles the announcement of the revision that a peer has in force, and fetches the revision if it is newer.
	 *
	 * @param revision - The announced revision number.
	 * @param hostId - Host id of the peer.
	 */
	handleAnnouncedRevision(revision: number, hostId: string): void {
		if (revision <= Math.max(this.revision, this.#announcedRevisions.get(hostId) ?? 0)) {
			return;
		}

		this.#announcedRevisions.set(hostId, revision);
		void this.#fetch(hostId);
	}

	/**
	 * Applies an accepted change unless a revision at least as high is in force.
	 *
	 * @param record - The accepted change.
	 * @returns Whether this or a higher revision is in force afterwards.
	 */
	adopt(record: RevisionRecord): boolean {
		if (record.revision <= this.revision) {
			checkInvariant(record.revision < this.revision || record.token === this.#record?.token, 'revision-unique', () => `revision ${record.revision} was accepted with two different contents`);
			return true;
		}

		const answers = parseAnswers(record.answers);
		if (answers.isErr()) {
			logger.log(LogLevel.error, 'configuration-invalid', {revision: record.revision, problems: answers.error.length});
			return false;
		}

		this.#apply(record, generateConfiguration(answers.value, record.revision));
		return true;
	}

	async #runRefresh(): Promise<void> {
		this.#isRefreshing = true;
		this.#refreshCount += 1;
		const refreshNumber = this.#refreshCount;
		const {refreshTimeoutMilliseconds, listPeers, peersQueried} = this.#options;
		let timeout: NodeJS.Timeout | undefined;
		const table = this.#readTable();
		const peers = Promise.all(listPeers().slice(0, peersQueried).map(async hostId => this.#fetch(hostId)));
		const querySources = async () => {
			// The table service holds the latest revision, so there is no need to wait for slow peers.
			if (!(await table)) {
				await peers;
			}
		};

		await Promise.race([
			querySources(),
			new Promise<void>(resolve => {
				timeout = setTimeout(resolve, refreshTimeoutMilliseconds);
			}),
		]);
		clearTimeout(timeout);
		if (refreshNumber === this.#refreshCount) {
			this.#isRefreshing = false;
		}
	}

	#apply(record: RevisionRecord, configuration: Configuration): void {
		const previousRevision = this.revision;
		this.#record = record;
		this.#configuration = configuration;
		checkInvariant(
			this.revision > previousRevision && configuration.revision === this.revision,
			'revision-monotonic',
			() => `revision ${this.revision} was applied after revision ${previousRevision}`,
		);
		for (const [hostId, revision] of this.#announcedRevisions) {
			if (revision <= this.revision) {
				this.#announcedRevisions.delete(hostId);
			}
		}

		logger.log(LogLevel.info, 'configuration-applied', {revision: this.revision, by: record.by});
		this.#options.onApplied(configuration);
	}

	#schedule(): void {
		if (this.#isStopped) {
			return;
		}

		this.#timer = setTimeout(() => {
			void this.#poll();
		}, this.#options.pollIntervalMilliseconds);
	}

	async #poll(): Promise<void> {
		// Peers that announced a revision but failed to return it are queried again until this host has the revision.
		const queriedPeers = this.#record ? this.#announcedRevisions.keys() : this.#options.listPeers().slice(0, this.#options.peersQueried);
		await Promise.all([this.#readTable(), ...[...queriedPeers].map(async hostId => this.#fetch(hostId))]);
		this.#schedule();
	}

	/** Reads the table service and returns whether it holds an accepted change. */
	async #readTable(): Promise<boolean> {
		const readResult = await this.#options.readCurrent?.();
		if (!readResult) {
			return false;
		}

		if (readResult.isErr()) {
			logger.logFailure(LogLevel.warn, 'configuration-unreadable', readResult.error);
			return false;
		}

		if (readResult.value && !this.#isStopped) {
			this.adopt(readResult.value);
		}

		return readResult.value !== undefined;
	}

	async #fetch(hostId: string): Promise<void> {
		if (this.#fetching.has(hostId)) {
			return;
		}

		this.#fetching.add(hostId);
		const fetched = await this.#options.fetchFromPeer(hostId);
		this.#fetching.delete(hostId);
		if (fetched.isOk() && fetched.value && !this.#isStopped) {
			this.adopt(fetched.value);
		}
	}
}
