import {setTimeout as waitMilliseconds} from 'node:timers/promises';

/** Simulates the processing of requests; a stall of the server lengthens all processing in progress by its duration. */
export class EndpointWork {
	#totalStall = 0;
	#stalledUntil = 0;

	/**
	 * Pauses all processing.
	 *
	 * @param milliseconds - Duration of the pause.
	 */
	pause(milliseconds: number): void {
		const now = performance.now();
		const until = Math.max(this.#stalledUntil, now + milliseconds);
		this.#totalStall += until - Math.max(this.#stalledUntil, now);
		this.#stalledUntil = until;
	}

	/**
	 * Waits for a processing time, plus any pauses in the meantime.
	 *
	 * @param milliseconds - Processing time without pauses.
	 * @param signal - Stops the processing and rejects the promise.
	 */
	async run(milliseconds: number, signal: AbortSignal): Promise<void> {
		const startedAt = performance.now();
		let includedStallTotal = this.#totalStall;
		let remaining = milliseconds + Math.max(0, this.#stalledUntil - startedAt);
		while (remaining > 0) {
			await waitMilliseconds(remaining, undefined, {signal});
			remaining = this.#totalStall - includedStallTotal;
			includedStallTotal = this.#totalStall;
		}
	}
}
