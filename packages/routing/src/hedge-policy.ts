import type {WorkClass} from '@tanagerrail/configuration';
import {LatencyQuantile} from './latency-quantile.js';
import {RetryBudget} from './retry-budget.js';

/** Options of {@link HedgePolicy}. */
export type HedgePolicyOptions = {
	readonly workClass: WorkClass;
	/** Maximum number of hedges for each request on average, for example 0.02. */
	readonly hedgeBudget: number;
	/** Lower bound of {@link HedgePolicy.silenceLimit}, in milliseconds. */
	readonly minimumSilenceMilliseconds: number;
	/** Multiple of the usual duration that gives {@link HedgePolicy.silenceLimit}. */
	readonly silenceFactor: number;
};

/** Defaults of {@link HedgePolicyOptions}. */
export const defaultHedgePolicyOptions = {minimumSilenceMilliseconds: 50, silenceFactor: 5};

/** Decides when an idempotent request is hedged, which means that a second attempt starts while the first one runs. */
export class HedgePolicy {
	readonly #options: HedgePolicyOptions;
	readonly #latency: LatencyQuantile;
	readonly #budget: RetryBudget;

	constructor(options: Partial<HedgePolicyOptions> & Pick<HedgePolicyOptions, 'workClass' | 'hedgeBudget'>) {
		this.#options = {...defaultHedgePolicyOptions, ...options};
		// The budget allows as many hedges as there are requests above this quantile, so the slowest requests are hedged.
		this.#latency = new LatencyQuantile({quantile: 1 - options.hedgeBudget});
		this.#budget = new RetryBudget({ratio: options.hedgeBudget, capacity: 5});
	}

	/** Time after dispatch when a hedge is due, in milliseconds; nothing when the class is not hedged. */
	get hedgeDelay(): number | undefined {
		return this.#options.workClass.hedge ? this.#latency.estimate : undefined;
	}

	/** Time without a response after dispatch that suggests a lost connection or a stalled endpoint, in milliseconds. */
	get silenceLimit(): number {
		const {workClass, minimumSilenceMilliseconds, silenceFactor} = this.#options;
		return Math.max(minimumSilenceMilliseconds, workClass.usualMilliseconds * silenceFactor);
	}

	/** Adds the share of one request to the budget. */
	add(): void {
		this.#budget.add();
	}

	/**
	 * Takes one hedge from the budget.
	 *
	 * @returns Whether the hedge may start.
	 */
	take(): boolean {
		return this.#budget.take();
	}

	/**
	 * Records the time between dispatch and the first byte of a response.
	 *
	 * @param milliseconds - The duration.
	 */
	record(milliseconds: number): void {
		this.#latency.record(milliseconds);
	}
}
