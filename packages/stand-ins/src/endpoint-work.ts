import {setTimeout as waitMilliseconds} from 'node:timers/promises';

/** Lets requests take their time; a stall of the server adds its length to all work in progress. */
export class EndpointWork {
	#stallTotal = 0;
	#stalledUntil = 0;

	/**
	 * Stops all work for some time.
	 *
	 * @param milliseconds - Length of the stall.
	 */
	pause(milliseconds: number): void {
		const now = performance.now();
		const until = Math.max(this.#stalledUntil, now + milliseconds);
		this.#stallTotal += until - Math.max(this.#stalledUntil, now);
		this.#stalledUntil = until;
	}

	/**
	 * Waits until work of some length is done.
	 *
	 * @param milliseconds - Length of the work.
	 * @param signal - Stops the work; the promise is rejected then.
	 */
	async run(milliseconds: number, signal: AbortSignal): Promise<void> {
		const startedAt = performance.now();
		let seen = this.#stallTotal;
		let rest = milliseconds + Math.max(0, this.#stalledUntil - startedAt);
		while (rest > 0) {
			await waitMilliseconds(rest, undefined, {signal});
			rest = this.#stallTotal - seen;
			seen = this.#stallTotal;
		}
	}
}
