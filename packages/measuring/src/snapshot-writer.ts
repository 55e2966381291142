import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {LevelRecorder} from './level-recorder.js';
import type {SnapshotStore} from './snapshot-store.js';

const logger = createLogger('measuring');

/** Options of {@link SnapshotWriter}. */
export type SnapshotWriterOptions = {
	readonly recorder: LevelRecorder;
	readonly store: SnapshotStore;
	/** Time between two snapshots, in milliseconds; a killed host loses the counts of at most this time. */
	readonly intervalMilliseconds: number;
	/** Longest time the last snapshot may take at shutdown, in milliseconds. */
	readonly lastWriteMilliseconds: number;
};

/** Defaults of {@link SnapshotWriterOptions}. */
export const defaultSnapshotWriterOptions = {intervalMilliseconds: 30_000, lastWriteMilliseconds: 5000};

/** Writes the counts of a host to the object store at intervals and when it stops. */
export class SnapshotWriter {
	readonly #options: SnapshotWriterOptions;
	#timer: NodeJS.Timeout | undefined;
	#writing: Promise<void> = Promise.resolve();

	constructor(options: Partial<SnapshotWriterOptions> & Pick<SnapshotWriterOptions, 'recorder' | 'store'>) {
		this.#options = {...defaultSnapshotWriterOptions, ...options};
	}

	/** Begins to write. */
	start(): void {
		this.#timer ??= setInterval(() => {
			void this.write(false);
		}, this.#options.intervalMilliseconds).unref();
	}

	/**
	 * Writes the last snapshot and stops. The shutdown does not wait for an object store that is down.
	 */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		let timer: NodeJS.Timeout | undefined;
		await Promise.race([
			this.write(true),
			new Promise<void>(resolve => {
				timer = setTimeout(resolve, this.#options.lastWriteMilliseconds);
			}),
		]);
		clearTimeout(timer);
	}

	/**
	 * Writes a snapshot after the one in progress, so that an older one never replaces a newer one.
	 *
	 * @param isFinal - Whether the host records nothing after it.
	 */
	async write(isFinal: boolean): Promise<void> {
		this.#writing = this.#writeAfter(this.#writing, isFinal);
		await this.#writing;
	}

	async #writeAfter(former: Promise<void>, isFinal: boolean): Promise<void> {
		const {recorder, store} = this.#options;
		await former;
		const written = await store.write(recorder.takeSnapshot(isFinal));
		if (written.isErr()) {
			logger.logFailure(LogLevel.warn, 'snapshot-write-failed', written.error);
		}
	}
}
