import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link TokenBucket}. */
export type TokenBucketOptions = {
	/** Tokens that may be spent in any window of `returnMilliseconds`. */
	readonly capacity: number;
	/** Time after which a spent token returns, in milliseconds. */
	readonly returnMilliseconds: number;
	readonly clock: Clock;
};

/** Defaults of {@link TokenBucketOptions}. */
export const defaultTokenBucketOptions = {returnMilliseconds: 1000};

/** Tokens set aside for a cost that is known only afterwards. */
export type TokenReservation = {
	/** Spends the tokens that were needed and gives the others back; only the first call counts. */
	settle(spent: number): void;
};

/**
 * A token bucket in which each token returns a fixed time after it was spent. A bucket with continuous refill lets
 * through its burst and its rate within one second; this one never exceeds its capacity in any window.
 */
export class TokenBucket {
	readonly #options: TokenBucketOptions;
	readonly #spent: Array<{readonly at: number; readonly amount: number}> = [];
	#taken = 0;

	constructor(options: Partial<TokenBucketOptions> & Pick<TokenBucketOptions, 'capacity' | 'clock'>) {
		this.#options = {...defaultTokenBucketOptions, ...options};
	}

	/** Tokens that can be taken now; negative after a cost above its reservation. */
	get available(): number {
		const {capacity, clock, returnMilliseconds} = this.#options;
		while (this.#spent.length > 0 && clock() - this.#spent[0]!.at >= returnMilliseconds) {
			this.#taken -= this.#spent.shift()!.amount;
		}

		return capacity - this.#taken;
	}

	/**
	 * Sets tokens aside until their reservation is settled.
	 *
	 * @param amount - Largest expected cost in tokens.
	 * @returns The reservation, or nothing when there are not enough tokens.
	 */
	tryReserve(amount: number): TokenReservation | undefined {
		if (this.available < amount) {
			return undefined;
		}

		this.#taken += amount;
		let isSettled = false;
		return {
			settle: spent => {
				if (!isSettled) {
					isSettled = true;
					this.#taken += spent - amount;
					this.#spent.push({at: this.#options.clock(), amount: spent});
				}
			},
		};
	}

	/**
	 * Spends tokens at once.
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
