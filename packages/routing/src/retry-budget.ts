/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = {
	/** Tokens earned by each request. */
	readonly ratio: number;
	/** Tokens that can be saved up at most. */
	readonly capacity: number;
};

/** Defaults of {@link RetryBudgetOptions}. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = {ratio: 0.1, capacity: 10};

/** Bounds the attempts beyond the first to a share of the requests, so that retries cannot multiply an overload. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	#tokens: number;

	constructor(options: Partial<RetryBudgetOptions> = {}) {
		this.#options = {...defaultRetryBudgetOptions, ...options};
		this.#tokens = this.#options.capacity;
	}

	/** Tokens that can be saved up at most. */
	get capacity(): number {
		return this.#options.capacity;
	}

	/** Tokens earned by each request. */
	get ratio(): number {
		return this.#options.ratio;
	}

	/** Earns the tokens of one request. */
	add(): void {
		this.#tokens = Math.min(this.#options.capacity, this.#tokens + this.#options.ratio);
	}

	/**
	 * Takes one token.
	 *
	 * @param reserve - Tokens that must stay for attempts that matter more.
	 * @returns Whether a further attempt is allowed.
	 */
	take(reserve = 0): boolean {
		if (this.#tokens < 1 + reserve) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
