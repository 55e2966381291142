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

/** Options of {@link ConfigurationKeeper}. */
export type ConfigurationKeeperOptions = {
	readonly clock: Clock;
	/** Reads the latest accepted change from the table; without it the host takes changes from peers only. */
	readonly readCurrent?: () => ResultAsync<RevisionRecord | undefined, Failure>;
	/** Asks a peer for the change that is in force there. */
	readonly fetchFromPeer: (hostId: string) => ResultAsync<RevisionRecord | undefined, Failure>;
	/** Ids of the peers that may be asked. */
	readonly listPeers: () => readonly string[];
	/** Configuration that is used until a revision is known. */
	readonly initial?: Configuration;
	/** Called after each change of the configuration in force. */
	readonly onApplied: (configuration: Configuration) => void;
	/** Time between two reads of the table, in milliseconds. */
	readonly pollMilliseconds: number;
	/** Time after which a start or the end of a pause no longer waits for the table and the peers, in milliseconds. */
	readonly refreshMilliseconds: number;
	/** Number of peers asked at a start and after a pause. */
	readonly peersAsked: number;
};

/** Defaults of {@link ConfigurationKeeperOptions}. */
export const defaultConfigurationKeeperOptions = {
	pollMilliseconds: 1000, refreshMilliseconds: 250, peersAsked: 3, onApplied() {/* Nobody listens. */},
};

/** Keeps the highest accepted configuration in force on one host. */
export class ConfigurationKeeper {
	readonly #options: ConfigurationKeeperOptions;
	/** The highest revision that each peer has named and this host does not have. */
	readonly #named = new Map<string, number>();
	readonly #fetching = new Set<string>();
	#record: RevisionRecord | undefined;
	#configuration: Configuration | undefined;
	#isRefreshing = true;
	#refreshes = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: Partial<ConfigurationKeeperOptions> & Pick<ConfigurationKeeperOptions, 'clock' | 'fetchFromPeer' | 'listPeers'>) {
		this.#options = {...defaultConfigurationKeeperOptions, ...options};
		this.#configuration = this.#options.initial;
	}

	/** The configuration in force; nothing before one is known and while the host asks again after a pause. */
	get configuration(): Configuration | undefined {
		return this.#isRefreshing ? undefined : this.#configuration;
	}

	/**
	 * The configuration that was last in force, also while the host asks again. Slots in use are counted by it; new requests
	 * use {@link configuration}.
	 */
	get latest(): Configuration | undefined {
		return this.#configuration;
	}

	/** Number of the revision in force; 0 when none is. */
	get revision(): number {
		return this.#record?.revision ?? 0;
	}

	/** The accepted change that is in force, for peers. */
	get record(): RevisionRecord | undefined {
		return this.#record;
	}

	/** Whether the host may decide by its configuration. */
	get isReady(): boolean {
		return this.configuration !== undefined;
	}

	/** Asks the table and the peers, then reads the table again and again. */
	async start(): Promise<void> {
		await this.refresh();
		this.#schedule();
	}

	/** Ends all reads. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** Asks the table and some peers before the next decision: at a start and after a pause. */
	async refresh(): Promise<void> {
		this.#isRefreshing = true;
		this.#refreshes += 1;
		const number = this.#refreshes;
		const {refreshMilliseconds, listPeers, peersAsked} = this.#options;
		let timeout: NodeJS.Timeout | undefined;
		const table = this.#readTable();
		const peers = Promise.all(listPeers().slice(0, peersAsked).map(async hostId => this.#fetch(hostId)));
		const askAll = async () => {
			// The table's own record is the latest, so slow peers need not be waited for.
			if (!(await table)) {
				await peers;
			}
		};

		await Promise.race([
			askAll(),
			new Promise<void>(resolve => {
				timeout = setTimeout(resolve, refreshMilliseconds);
			}),
		]);
		clearTimeout(timeout);
		if (number === this.#refreshes) {
			this.#isRefreshing = false;
		}
	}

	/**
	 * Takes note of the revision that a peer has in force, and fetches it when it is newer.
	 *
	 * @param revision - Number of the revision.
	 * @param hostId - Id of the peer.
	 */
	handleNamed(revision: number, hostId: string): void {
		if (revision <= Math.max(this.revision, this.#named.get(hostId) ?? 0)) {
			return;
		}

		this.#named.set(hostId, revision);
		void this.#fetch(hostId);
	}

	/**
	 * Puts an accepted change in force unless a higher one is.
	 *
	 * @param record - The accepted change.
	 * @returns Whether a change at least as high is in force afterwards.
	 */
	adopt(record: RevisionRecord): boolean {
		if (record.revision <= this.revision) {
			checkInvariant(record.revision < this.revision || record.token === this.#record?.token, 'revision-unique', () => `revision ${record.revision} has two contents`);
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

	#apply(record: RevisionRecord, configuration: Configuration): void {
		const former = this.revision;
		this.#record = record;
		this.#configuration = configuration;
		checkInvariant(this.revision > former && configuration.revision === this.revision, 'revision-monotonic', () => `revision ${this.revision} follows ${former}`);
		for (const [hostId, revision] of this.#named) {
			if (revision <= this.revision) {
				this.#named.delete(hostId);
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
		}, this.#options.pollMilliseconds);
	}

	async #poll(): Promise<void> {
		// A peer that could not deliver the revision that it named is asked again until the revision is known.
		const asked = this.#record ? this.#named.keys() : this.#options.listPeers().slice(0, this.#options.peersAsked);
		await Promise.all([this.#readTable(), ...[...asked].map(async hostId => this.#fetch(hostId))]);
		this.#schedule();
	}

	/** Reads the table and tells whether it holds an accepted change. */
	async #readTable(): Promise<boolean> {
		const current = await this.#options.readCurrent?.();
		if (!current) {
			return false;
		}

		if (current.isErr()) {
			logger.logFailure(LogLevel.warn, 'configuration-unreadable', current.error);
			return false;
		}

		if (current.value && !this.#isStopped) {
			this.adopt(current.value);
		}

		return current.value !== undefined;
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
