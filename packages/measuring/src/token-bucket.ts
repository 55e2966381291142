import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link TokenBucket}. */
export type TokenBucketOptions = {
	/** Number of tokens that may be spent in any window of `windowMilliseconds`. */
	readonly capacity: number;
	/** Time after which a spent token becomes available again, in milliseconds. */
	readonly windowMilliseconds: number;
	readonly clock: Clock;
};

/** Defaults of {@link TokenBucketOptions}. */
export const defaultTokenBucketOptions = {windowMilliseconds: 1000};

/** Tokens reserved for a cost that is known only afterwards. */
export type TokenReservation = {
	/** Spends the actual cost and releases the rest of the reservation; only the first call has an effect. */
	settle(spent: number): void;
};

/**
 * A token bucket in which each token becomes available again a fixed time after it was spent. A bucket with continuous
 * refill admits up to its burst plus its rate within one second; this one never exceeds its capacity in any window.
 */
export class TokenBucket {
	readonly #options: TokenBucketOptions;
	readonly #spent: Array<{readonly at: number; readonly amount: number}> = [];
	#unavailable = 0;

	constructor(options: Partial<TokenBucketOptions> & Pick<TokenBucketOptions, 'capacity' | 'clock'>) {
		this.#options = {...defaultTokenBucketOptions, ...options};
	}

	/** Number of tokens that can be taken now; negative if a cost exceeded its reservation. */
	get available(): number {
		const {capacity, clock, windowMilliseconds} = this.#options;
		while (this.#spent.length > 0 && clock() - this.#spent[0]!.at >= windowMilliseconds) {
			this.#unavailable -= this.#spent.shift()!.amount;
		}

		return capacity - this.#unavailable;
	}

	/**
	 * Reserves tokens until the reservation is settled.
	 *
	 * @param amount - Largest expected cost in tokens.
	 * @returns The reservation, or `undefined` if there are not enough tokens.
	 */
	tryReserve(amount: number): TokenReservation | undefined {
		if (this.available < amount) {
			return undefined;
		}

		this.#unavailable += amount;
		let isSettled = false;
		return {
			settle: spent => {
				if (!isSettled) {
					isSettled = true;
					this.#unavailable += spent - amount;
					this.#spent.push({at: this.#options.clock(), amount: spent});
				}
			},
		};
	}

	/**
	 * Spends tokens immediately.
	 *
	 * @param amount - Number of tokens.
	 * @returns Whether there were enough.
	 */
	tryTake(amount = 1): boolean {
		const reservation = this.tryReserve(amount);
		reservation?.settle(amount);
		return reservation !== undefined;
	}
}
