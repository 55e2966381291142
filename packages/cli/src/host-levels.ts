import {errAsync, type Result} from 'neverthrow';
import type {Configuration} from '@tanagerrail/configuration';
import {
	encodeSnapshot, LevelRecorder, SnapshotStore, SnapshotWriter, type LevelRecord, type LevelSnapshot,
} from '@tanagerrail/measuring';
import type {HostDirectory} from '@tanagerrail/membership';
import type {LevelCalls, LevelHost, StoredLevels} from '@tanagerrail/peers';
import type {ObjectStore} from '@tanagerrail/platform';
import {createFailure, type Failure} from '@tanagerrail/results';

/** Options of {@link HostLevels}. */
export type HostLevelsOptions = {
	readonly hostId: string;
	readonly incarnation: string;
	readonly getConfiguration: () => Configuration | undefined;
	readonly directory: HostDirectory;
	/** Object store for snapshots; without it the counts are lost when the process ends. */
	readonly objects: ObjectStore | undefined;
};

/** Records the service-level counts of a host, serves them to operators and saves them in the object store. */
export class HostLevels implements LevelCalls {
	readonly #options: HostLevelsOptions;
	readonly #recorder: LevelRecorder;
	readonly #store: SnapshotStore | undefined;
	readonly #writer: SnapshotWriter | undefined;

	constructor(options: HostLevelsOptions) {
		this.#options = options;
		this.#recorder = new LevelRecorder(options);
		this.#store = options.objects && new SnapshotStore(options.objects);
		this.#writer = this.#store && new SnapshotWriter({recorder: this.#recorder, store: this.#store});
	}

	get recorder(): LevelRecorder {
		return this.#recorder;
	}

	/**
	 * Records a finished request.
	 *
	 * @param record - Outcome of the request.
	 */
	record(record: LevelRecord): void {
		this.#recorder.record(record);
	}

	/** Starts to write snapshots at intervals. */
	start(): void {
		this.#writer?.start();
	}

	/** Writes the last snapshot. */
	async stop(): Promise<void> {
		await this.#writer?.stop();
	}

	readonly takeSnapshot = async (): Promise<string> => encodeBase64(this.#recorder.takeSnapshot());

	readonly listHosts = (): LevelHost[] => this.#options.directory.listEntryHosts().map(({id, adminAddress}) => ({id, adminAddress}));

	readonly readStored = async (): Promise<Result<StoredLevels, Failure>> => {
		if (!this.#store) {
			return errAsync(createFailure('object-unavailable', {reason: 'no object store is configured'}));
		}

		const stored = await this.#store.readAll();
		return stored.asyncMap(async ({snapshots, unreadable}) => ({snapshots: await Promise.all(snapshots.map(async snapshot => encodeBase64(snapshot))), unreadable}));
	};
}

async function encodeBase64(snapshot: LevelSnapshot): Promise<string> {
	return Buffer.from(await encodeSnapshot(snapshot)).toString('base64');
}
