/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = {
	/** Tokens added by each request. */
	readonly ratio: number;
	/** Maximum number of tokens. */
	readonly capacity: number;
};

/** Defaults of {@link RetryBudgetOptions}. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = {ratio: 0.1, capacity: 10};

/** Token bucket that limits extra attempts to a share of the requests, so that retries cannot amplify an overload. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	#tokens: number;

	constructor(options: Partial<RetryBudgetOptions> = {}) {
		this.#options = {...defaultRetryBudgetOptions, ...options};
		this.#tokens = this.#options.capacity;
	}

	/** Maximum number of tokens. */
	get capacity(): number {
		return this.#options.capacity;
	}

	/** Tokens added by each request. */
	get ratio(): number {
		return this.#options.ratio;
	}

	/** Adds the tokens of one request. */
	add(): void {
		this.#tokens = Math.min(this.#options.capacity, this.#tokens + this.#options.ratio);
	}

	/**
	 * Takes one token.
	 *
	 * @param reserve - Tokens that must remain for attempts of higher priority.
	 * @returns Whether the extra attempt may start.
	 */
	take(reserve = 0): boolean {
		if (this.#tokens < 1 + reserve) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
