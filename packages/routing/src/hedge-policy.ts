import type {WorkClass} from '@tanagerrail/configuration';
import {LatencyQuantile} from './latency-quantile.js';
import {RetryBudget} from './retry-budget.js';

/** Options of {@link HedgePolicy}. */
export type HedgePolicyOptions = {
	readonly workClass: WorkClass;
	/** Hedges for each request, for example 0.02. */
	readonly hedgeBudget: number;
	/** Shortest silence that counts as suspicious, in milliseconds. */
	readonly minimumSilence: number;
	/** Multiple of the usual duration that counts as suspicious silence. */
	readonly silenceFactor: number;
};

/** Defaults of {@link HedgePolicyOptions}. */
export const defaultHedgePolicyOptions = {minimumSilence: 50, silenceFactor: 5};

/** Decides when a second attempt of an idempotent request starts while the first one runs. */
export class HedgePolicy {
	readonly #options: HedgePolicyOptions;
	readonly #latency: LatencyQuantile;
	readonly #budget: RetryBudget;

	constructor(options: Partial<HedgePolicyOptions> & Pick<HedgePolicyOptions, 'workClass' | 'hedgeBudget'>) {
		this.#options = {...defaultHedgePolicyOptions, ...options};
		// The slowest requests are the ones worth a hedge, as many of them as the budget pays for.
		this.#latency = new LatencyQuantile({quantile: 1 - options.hedgeBudget});
		this.#budget = new RetryBudget({ratio: options.hedgeBudget, capacity: 5});
	}

	/** Time after dispatch when a hedge is due, in milliseconds; nothing when the class is not hedged. */
	get hedgeDelay(): number | undefined {
		return this.#options.workClass.hedge ? this.#latency.estimate : undefined;
	}

	/** Silence after dispatch that suggests a lost connection or a stalled endpoint, in milliseconds. */
	get silenceLimit(): number {
		const {workClass, minimumSilence, silenceFactor} = this.#options;
		return Math.max(minimumSilence, workClass.usualMilliseconds * silenceFactor);
	}

	/** Earns the share of one request. */
	add(): void {
		this.#budget.add();
	}

	/**
	 * Takes one hedge from the budget.
	 *
	 * @returns Whether it may start.
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
