/** Options of {@link LatencyQuantile}. */
export type LatencyQuantileOptions = {
	/** Between 0 and 1. */
	readonly quantile: number;
	/** Number of latest durations that count. */
	readonly windowLength: number;
	/** Durations needed before there is an estimate. */
	readonly minimumSamples: number;
};

/** Defaults of {@link LatencyQuantileOptions}. */
export const defaultLatencyQuantileOptions: LatencyQuantileOptions = {quantile: 0.98, windowLength: 512, minimumSamples: 64};

/** Share of the window after which the estimate is computed again, since sorting for each duration costs too much. */
const recomputeShare = 16;

/** A quantile of the latest durations. */
export class LatencyQuantile {
	readonly #options: LatencyQuantileOptions;
	readonly #durations: number[] = [];
	#next = 0;
	#sinceComputed = 0;
	#estimate: number | undefined;

	constructor(options: Partial<LatencyQuantileOptions> = {}) {
		this.#options = {...defaultLatencyQuantileOptions, ...options};
	}

	/** The quantile in milliseconds; nothing before there are enough durations. */
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
		if (this.#durations.length < minimumSamples || (this.#estimate !== undefined && this.#sinceComputed < windowLength / recomputeShare)) {
			return;
		}

		this.#sinceComputed = 0;
		const sorted = [...this.#durations].sort((left, right) => left - right);
		this.#estimate = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
	}
}
