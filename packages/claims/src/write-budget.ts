import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link WriteBudget}. */
export type WriteBudgetOptions = {
	readonly clock: Clock;
	/** Writes a second that this host may send now; it changes with the number of hosts. */
	getWriteRate(): number;
};

/** Writes of one keyed request: its claim, and its outcome or removal. */
export const writesPerRequest = 2;

/** Token bucket of the writes that this host may send to the table; it saves up one second's worth. */
export class WriteBudget {
	readonly #options: WriteBudgetOptions;
	/** Full at first; the rate may not be known yet when the bucket is created. */
	#tokens = Infinity;
	#filledAt: number;

	constructor(options: WriteBudgetOptions) {
		this.#options = options;
		this.#filledAt = options.clock();
	}

	/**
	 * Takes tokens if there are enough.
	 *
	 * @param count - Number of writes.
	 * @returns Whether the writes may be sent.
	 */
	take(count: number): boolean {
		this.#fill();
		if (this.#tokens < count) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}

	/**
	 * Draws tokens for a write that must be sent in any case; later requests pay for it.
	 *
	 * @param count - Number of writes.
	 */
	draw(count: number): void {
		this.#fill();
		this.#tokens -= count;
	}

	/**
	 * Gives back tokens of writes that were not sent.
	 *
	 * @param count - Number of writes.
	 */
	restore(count: number): void {
		this.#tokens = Math.min(this.#getCapacity(), this.#tokens + count);
	}

	#fill(): void {
		const now = this.#options.clock();
		this.#tokens = Math.min(this.#getCapacity(), this.#tokens + ((now - this.#filledAt) / 1000 * this.#options.getWriteRate()));
		this.#filledAt = now;
	}

	/** A share below one request a second still admits single requests. */
	#getCapacity(): number {
		return Math.max(writesPerRequest, this.#options.getWriteRate());
	}
}
