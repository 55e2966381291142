import {setMaxListeners} from 'node:events';
import type {Wait} from './wait.js';

/** Options of {@link BackgroundWrites}. */
export type BackgroundWritesOptions = {
	readonly wait: Wait;
	/** Delay before the first retry, in milliseconds; doubles with each retry. */
	readonly initialDelayMilliseconds: number;
	/** Longest delay between two retries, in milliseconds. */
	readonly maximumDelayMilliseconds: number;
};

/** A write that is retried until it is done. */
export type BackgroundWrite = {
	/** Memory held by the write, in bytes. */
	readonly bytes: number;
	/** Sends the write once; resolves to whether it is done, that is, needs no further attempt. */
	readonly attempt: () => Promise<boolean>;
};

/** Retries failed writes in the background, without blocking the caller. */
export class BackgroundWrites {
	readonly #options: BackgroundWritesOptions;
	readonly #pending = new Set<Promise<void>>();
	readonly #stop = new AbortController();
	#retryingCount = 0;
	#pendingBytes = 0;

	constructor(options: BackgroundWritesOptions) {
		this.#options = options;
		// Each pending write listens on this signal. During an outage there may be many listeners, which is not a leak.
		setMaxListeners(0, this.#stop.signal);
	}

	/** Number of writes that failed at least once and are not done yet. */
	get retryingCount(): number {
		return this.#retryingCount;
	}

	/** Memory held by writes that are not done yet, in bytes. */
	get pendingBytes(): number {
		return this.#pendingBytes;
	}

	/**
	 * Sends a write and retries it until it is done.
	 *
	 * @param write - The write.
	 * @returns A promise that resolves after the first attempt.
	 */
	async run(write: BackgroundWrite): Promise<void> {
		this.#pendingBytes += write.bytes;
		const first = write.attempt();
		const completion = this.#retryUntilDone(write, first);
		this.#pending.add(completion);
		void this.#removeWhenDone(completion);
		await first;
	}

	/**
	 * Waits until all writes are done or their retries are stopped.
	 *
	 * @param signal - Stops the retries when aborted.
	 */
	async drain(signal: AbortSignal): Promise<void> {
		const stop = () => {
			this.#stop.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		if (signal.aborted) {
			stop();
		}

		while (this.#pending.size > 0) {
			await Promise.all(this.#pending);
		}

		signal.removeEventListener('abort', stop);
	}

	async #removeWhenDone(completion: Promise<void>): Promise<void> {
		await completion;
		this.#pending.delete(completion);
	}

	async #retryUntilDone({attempt, bytes}: BackgroundWrite, first: Promise<boolean>): Promise<void> {
		const {wait, initialDelayMilliseconds, maximumDelayMilliseconds} = this.#options;
		let isDone = await first;
		let delayMilliseconds = initialDelayMilliseconds;
		this.#retryingCount += isDone ? 0 : 1;
		const wasRetried = !isDone;
		while (!isDone && !this.#stop.signal.aborted) {
			await wait(delayMilliseconds, this.#stop.signal);
			isDone = await attempt();
			delayMilliseconds = Math.min(maximumDelayMilliseconds, delayMilliseconds * 2);
		}

		this.#retryingCount -= wasRetried ? 1 : 0;
		this.#pendingBytes -= bytes;
	}
}
