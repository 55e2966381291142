import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link WriteBudget}. */
export type WriteBudgetOptions = {
	readonly clock: Clock;
	/** Returns the number of writes per second that this host may currently send; it changes with the number of hosts. */
	getWriteRate(): number;
};

/** Number of writes for one keyed request: one for the claim, and one for its outcome or removal. */
export const writesPerRequest = 2;

/** Token bucket that limits the writes this host sends to the table. It holds at most the tokens of one second. */
export class WriteBudget {
	readonly #options: WriteBudgetOptions;
	/** Infinite until the first refill caps it, because the rate may not be known yet when the bucket is created. */
	#tokens = Infinity;
	#refilledAt: number;

	constructor(options: WriteBudgetOptions) {
		this.#options = options;
		this.#refilledAt = options.clock();
	}

	/**
	 * Takes tokens if there are enough.
	 *
	 * @param count - Number of writes.
	 * @returns Whether the writes may be sent.
	 */
	tryTake(count: number): boolean {
		this.#refill();
		if (this.#tokens < count) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}

	/**
	 * Takes tokens for writes that must be sent in any case. The balance may become negative, which delays later requests.
	 *
	 * @param count - Number of writes.
	 */
	take(count: number): void {
		this.#refill();
		this.#tokens -= count;
	}

	/**
	 * Returns tokens of writes that were not sent.
	 *
	 * @param count - Number of writes.
	 */
	restore(count: number): void {
		this.#tokens = Math.min(this.#getCapacity(), this.#tokens + count);
	}

	#refill(): void {
		const now = this.#options.clock();
		this.#tokens = Math.min(this.#getCapacity(), this.#tokens + ((now - this.#refilledAt) / 1000 * this.#options.getWriteRate()));
		this.#refilledAt = now;
	}

	/** Returns the largest number of tokens; always enough for one request, even if the rate is below one request per second. */
	#getCapacity(): number {
		return Math.max(writesPerRequest, this.#options.getWriteRate());
	}
}
