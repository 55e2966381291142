/** Options of {@link LatencyQuantile}. */
export type LatencyQuantileOptions = {
	/** Quantile to estimate, between 0 and 1. */
	readonly quantile: number;
	/** Number of latest durations in the window. */
	readonly windowLength: number;
	/** Number of durations required for an estimate. */
	readonly minimumSamples: number;
};

/** Defaults of {@link LatencyQuantileOptions}. */
export const defaultLatencyQuantileOptions: LatencyQuantileOptions = {quantile: 0.98, windowLength: 512, minimumSamples: 64};

/** Number of recomputations per full window; sorting for each recorded duration would cost too much. */
const recomputesPerWindow = 16;

/** Estimates a quantile of the latest durations. */
export class LatencyQuantile {
	readonly #options: LatencyQuantileOptions;
	readonly #durations: number[] = [];
	#next = 0;
	#sinceComputed = 0;
	#estimate: number | undefined;

	constructor(options: Partial<LatencyQuantileOptions> = {}) {
		this.#options = {...defaultLatencyQuantileOptions, ...options};
	}

	/** The quantile in milliseconds; nothing until enough durations are recorded. */
	get estimate(): number | undefined {
		return this.#estimate;
	}

	/**
	 * Records a duration.
	 *
	 * @param milliseconds - The duration.
	 */
	record(milliseconds: number): void {
		const {windowLength, minimumSamples, quantile} = this.#options;
		this.#durations[this.#next] = milliseconds;
		this.#next = (this.#next + 1) % windowLength;
		this.#sinceComputed += 1;
		if (this.#durations.length < minimumSamples || (this.#estimate !== undefined && this.#sinceComputed < windowLength / recomputesPerWindow)) {
			return;
		}

		this.#sinceComputed = 0;
		const sorted = [...this.#durations].sort((left, right) => left - right);
		this.#estimate = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
	}
}
