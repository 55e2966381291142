import {setMaxListeners} from 'node:events';
import type {Wait} from './wait.js';

/** Options of {@link BackgroundWrites}. */
export type BackgroundWritesOptions = {
	readonly wait: Wait;
	/** Wait before the first repetition, in milliseconds; it doubles each time. */
	readonly firstWaitMilliseconds: number;
	/** Longest wait between two repetitions, in milliseconds. */
	readonly longestWaitMilliseconds: number;
};

/** One write that is repeated until it has succeeded. */
export type BackgroundWrite = {
	/** Memory held by the write, in bytes. */
	readonly bytes: number;
	/** Sends the write once; resolves to whether it is settled. */
	readonly attempt: () => Promise<boolean>;
};

/** Repeats writes whose caller does not wait for them. */
export class BackgroundWrites {
	readonly #options: BackgroundWritesOptions;
	readonly #running = new Set<Promise<void>>();
	readonly #stop = new AbortController();
	#waiting = 0;
	#bytes = 0;

	constructor(options: BackgroundWritesOptions) {
		this.#options = options;
		// Each unsettled write waits on this signal; there may be many during an outage, which is no leak.
		setMaxListeners(0, this.#stop.signal);
	}

	/** Writes that failed at least once and are not settled. */
	get waiting(): number {
		return this.#waiting;
	}

	/** Memory held by unsettled writes, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/**
	 * Sends a write and repeats it until it is settled.
	 *
	 * @param write - The write.
	 * @returns Nothing, after the first attempt.
	 */
	async run(write: BackgroundWrite): Promise<void> {
		this.#bytes += write.bytes;
		const first = write.attempt();
		const whole = this.#repeat(write, first);
		this.#running.add(whole);
		void this.#dropWhenSettled(whole);
		await first;
	}

	/**
	 * Waits until all writes are settled.
	 *
	 * @param signal - Ends the repetitions.
	 */
	async drain(signal: AbortSignal): Promise<void> {
		const stop = () => {
			this.#stop.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		if (signal.aborted) {
			stop();
		}

		while (this.#running.size > 0) {
			await Promise.all(this.#running);
		}

		signal.removeEventListener('abort', stop);
	}

	async #dropWhenSettled(whole: Promise<void>): Promise<void> {
		await whole;
		this.#running.delete(whole);
	}

	async #repeat({attempt, bytes}: BackgroundWrite, first: Promise<boolean>): Promise<void> {
		const {wait, firstWaitMilliseconds, longestWaitMilliseconds} = this.#options;
		let isSettled = await first;
		let milliseconds = firstWaitMilliseconds;
		this.#waiting += isSettled ? 0 : 1;
		const wasRepeated = !isSettled;
		while (!isSettled && !this.#stop.signal.aborted) {
			await wait(milliseconds, this.#stop.signal);
			isSettled = await attempt();
			milliseconds = Math.min(longestWaitMilliseconds, milliseconds * 2);
		}

		this.#waiting -= wasRepeated ? 1 : 0;
		this.#bytes -= bytes;
	}
}
