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
	/** Object store for snapshots; without it the counts end with the process. */
	readonly objects: ObjectStore | undefined;
};

/** Service-level counts of a host: recorded, served to operators and kept in the object store. */
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
	 * Records the end of a request.
	 *
	 * @param record - How it ended.
	 */
	record(record: LevelRecord): void {
		this.#recorder.record(record);
	}

	/** Begins to write snapshots. */
	start(): void {
		this.#writer?.start();
	}

	/** Writes the last snapshot. */
	async stop(): Promise<void> {
		await this.#writer?.stop();
	}

	readonly takeSnapshot = async (): Promise<string> => encodeBase64(this.#recorder.takeSnapshot());

	readonly listHosts = (): LevelHost[] => this.#options.directory.listEntries().map(({id, adminAddress}) => ({id, adminAddress}));

	readonly readStored = async (): Promise<Result<StoredLevels, Failure>> => {
		if (!this.#store) {
			return errAsync(createFailure('object-unavailable', {reason: 'the settings name no object store'}));
		}

		const stored = await this.#store.readAll();
		return stored.asyncMap(async ({snapshots, unreadable}) => ({snapshots: await Promise.all(snapshots.map(async snapshot => encodeBase64(snapshot))), unreadable}));
	};
}

async function encodeBase64(snapshot: LevelSnapshot): Promise<string> {
	return Buffer.from(await encodeSnapshot(snapshot)).toString('base64');
}
