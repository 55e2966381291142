import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {LevelRecorder} from './level-recorder.js';
import type {SnapshotStore} from './snapshot-store.js';

const logger = createLogger('measuring');

/** Options of {@link SnapshotWriter}. */
export type SnapshotWriterOptions = {
	readonly recorder: LevelRecorder;
	readonly store: SnapshotStore;
	/** Time between two snapshots, in milliseconds; a host that is killed loses the counts of at most this time. */
	readonly intervalMilliseconds: number;
	/** Longest time by which the final snapshot delays the shutdown, in milliseconds. */
	readonly finalWriteTimeoutMilliseconds: number;
};

/** Defaults of {@link SnapshotWriterOptions}. */
export const defaultSnapshotWriterOptions = {intervalMilliseconds: 30_000, finalWriteTimeoutMilliseconds: 5000};

/** Writes the counts of a host to the object store periodically and at shutdown. */
export class SnapshotWriter {
	readonly #options: SnapshotWriterOptions;
	#timer: NodeJS.Timeout | undefined;
	#latestWrite: Promise<void> = Promise.resolve();

	constructor(options: Partial<SnapshotWriterOptions> & Pick<SnapshotWriterOptions, 'recorder' | 'store'>) {
		this.#options = {...defaultSnapshotWriterOptions, ...options};
	}

	/** Starts writing periodically. */
	start(): void {
		this.#timer ??= setInterval(() => {
			void this.write(false);
		}, this.#options.intervalMilliseconds).unref();
	}

	/**
	 * Writes the final snapshot and stops. The wait is limited, so that an unavailable object store does not block the shutdown.
	 */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		let timer: NodeJS.Timeout | undefined;
		await Promise.race([
			this.write(true),
			new Promise<void>(resolve => {
				timer = setTimeout(resolve, this.#options.finalWriteTimeoutMilliseconds);
			}),
		]);
		clearTimeout(timer);
	}

	/**
	 * Writes a snapshot after the previous write is done, so that an older snapshot never replaces a newer one.
	 *
	 * @param isFinal - Whether the process records nothing after this snapshot.
	 */
	async write(isFinal: boolean): Promise<void> {
		this.#latestWrite = this.#writeAfter(this.#latestWrite, isFinal);
		await this.#latestWrite;
	}

	async #writeAfter(previousWrite: Promise<void>, isFinal: boolean): Promise<void> {
		const {recorder, store} = this.#options;
		await previousWrite;
		const written = await store.write(recorder.takeSnapshot(isFinal));
		if (written.isErr()) {
			logger.logFailure(LogLevel.warn, 'snapshot-write-failed', written.error);
		}
	}
}
