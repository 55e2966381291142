/** A token bucket that holds at most one second's worth of tokens. */
export class RateLimit {
	readonly #perSecond: number;
	#tokens: number;
	#refilledAt = performance.now();

	constructor(perSecond: number) {
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
	}

	/**
	 * Takes tokens.
	 *
	 * @param count - Number of tokens.
	 * @returns Whether there were enough tokens; if not, none is taken.
	 */
	take(count: number): boolean {
		const now = performance.now();
		this.#tokens = Math.min(this.#perSecond, this.#tokens + ((now - this.#refilledAt) / 1000 * this.#perSecond));
		this.#refilledAt = now;
		if (this.#tokens < count) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}
}
