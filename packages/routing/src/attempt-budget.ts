import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link AttemptBudget}. */
export type AttemptBudgetOptions = {
	readonly clock: Clock;
	/** Extra attempts allowed per request in a window; each attempt of a request after its first one is extra. */
	readonly ratio: number;
	/** Extra attempts that all hosts together may start in a window regardless of the number of requests. */
	readonly slack: number;
	/** Length of the sliding window in milliseconds. */
	readonly windowMilliseconds: number;
	/** Returns the number of hosts that share the budget. */
	readonly getHostCount: () => number;
	/** Monotonic time at which this host began to count its extra attempts, in milliseconds. */
	readonly startedAt: number;
	/** Share of the budget that is used, between 0 and 1; the rest is a margin because hosts do not exchange their counts. */
	readonly usableShare: number;
};

/** Defaults of {@link AttemptBudgetOptions}. */
export const defaultAttemptBudgetOptions = {usableShare: 0.85};

/**
 * Limits the extra attempts at the endpoints of one service, summed over all hosts. Each host has a budget in proportion to
 * its own requests plus an equal part of the slack, so the hosts need not exchange messages.
 */
export class AttemptBudget {
	readonly #options: AttemptBudgetOptions;
	/** Monotonic times of the requests within the last window, oldest first. */
	readonly #requests: number[] = [];
	/** Monotonic times of the extra attempts within the last window, oldest first. */
	readonly #attempts: number[] = [];

	constructor(options: Partial<AttemptBudgetOptions> & Omit<AttemptBudgetOptions, 'usableShare'>) {
		this.#options = {...defaultAttemptBudgetOptions, ...options};
	}

	/** Extra attempts that may start now. */
	get available(): number {
		const {clock, ratio, slack, windowMilliseconds, getHostCount, startedAt, usableShare} = this.#options;
		const now = clock();
		this.#expire(now);
		// A restarted host has lost its counts from before, so its part of the slack becomes available over one window.
		const age = Math.min(1, (now - startedAt) / windowMilliseconds);
		const earned = (ratio * this.#requests.length) + (age * slack / Math.max(1, getHostCount()));
		return (usableShare * earned) - this.#attempts.length;
	}

	/** Counts a request for the service. */
	addRequest(): void {
		const now = this.#options.clock();
		this.#expire(now);
		this.#requests.push(now);
	}

	/**
	 * Takes one extra attempt from the budget.
	 *
	 * @param reserve - Attempts that must remain for purposes of higher priority.
	 * @returns Whether the attempt may start.
	 */
	take(reserve = 0): boolean {
		if (this.available < 1 + reserve) {
			return false;
		}

		this.#attempts.push(this.#options.clock());
		return true;
	}

	#expire(now: number): void {
		const oldest = now - this.#options.windowMilliseconds;
		for (const times of [this.#requests, this.#attempts]) {
			const kept = times.findIndex(time => time > oldest);
			times.splice(0, kept === -1 ? times.length : kept);
		}
	}
}
