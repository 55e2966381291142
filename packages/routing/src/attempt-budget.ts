import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link AttemptBudget}. */
export type AttemptBudgetOptions = {
	readonly clock: Clock;
	/** Attempts beyond the first for each request of a window. */
	readonly ratio: number;
	/** Attempts beyond the first in a window that all hosts together may make without any request. */
	readonly slack: number;
	/** Length of the sliding window in milliseconds. */
	readonly windowMilliseconds: number;
	/** Number of hosts that share the budget. */
	readonly getHostCount: () => number;
	/** Monotonic time in milliseconds since when this host has known what it spends. */
	readonly startedAt: number;
	/** Part of the budget that is used, between 0 and 1; the rest covers what hosts do not know of each other. */
	readonly usableShare: number;
};

/** Defaults of {@link AttemptBudgetOptions}. */
export const defaultAttemptBudgetOptions = {usableShare: 0.85};

/**
 * Bounds the attempts beyond the first at the endpoints of one service, summed over all hosts. Each host spends the share
 * that its own requests earn and an equal part of the slack, so that no message is needed.
 */
export class AttemptBudget {
	readonly #options: AttemptBudgetOptions;
	/** Monotonic times within the last window, oldest first. */
	readonly #requests: number[] = [];
	readonly #attempts: number[] = [];

	constructor(options: Partial<AttemptBudgetOptions> & Omit<AttemptBudgetOptions, 'usableShare'>) {
		this.#options = {...defaultAttemptBudgetOptions, ...options};
	}

	/** Attempts that may start now. */
	get available(): number {
		const {clock, ratio, slack, windowMilliseconds, getHostCount, startedAt, usableShare} = this.#options;
		const now = clock();
		this.#expire(now);
		// A restarted host does not know what it spent before, so its part of the slack comes back over one window.
		const age = Math.min(1, (now - startedAt) / windowMilliseconds);
		const earned = (ratio * this.#requests.length) + (age * slack / Math.max(1, getHostCount()));
		return (usableShare * earned) - this.#attempts.length;
	}

	/** Counts a request for the service. */
	addRequest(): void {
		this.#requests.push(this.#options.clock());
	}

	/**
	 * Takes one attempt beyond the first.
	 *
	 * @param reserve - Attempts that stay for purposes that matter more.
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
