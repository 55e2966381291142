import type {ClassWindow} from './class-window.js';

/** Counts that a burn rate rests on. */
export type BurnCounts = Pick<ClassWindow, 'good' | 'bad'>;

/** Pairs of a short and a long window; both must burn above the threshold, so that an alert starts early and ends soon. */
export const burnPairs = [
	/** Spends 2% of the budget in one hour. */
	{shortMinutes: 5, longMinutes: 60, budgetShare: 0.02},
	/** Spends 5% of the budget in six hours. */
	{shortMinutes: 30, longMinutes: 360, budgetShare: 0.05},
] as const;

/**
 * Computes how fast the error budget is spent.
 *
 * @param counts - Requests of a window.
 * @param objective - Promised share of good responses.
 * @returns 1 when the budget is used up exactly at the end of its period; nothing without requests.
 */
export function computeBurnRate({good, bad}: BurnCounts, objective: number): number | undefined {
	const total = good + bad;
	return total === 0 ? undefined : bad / total / Math.max(1 - objective, Number.EPSILON);
}

/**
 * Computes the burn rate at which a window spends a share of the budget.
 *
 * @param budgetShare - Share of the budget, between 0 and 1.
 * @param windowMinutes - Length of the window.
 * @param windowDays - Period of the budget.
 * @returns The rate; 14.4 for 2% of 30 days in one hour.
 */
export function computeBurnThreshold(budgetShare: number, windowMinutes: number, windowDays: number): number {
	return budgetShare * windowDays * 1440 / windowMinutes;
}

/**
 * Computes the share of the error budget that is left.
 *
 * @param counts - Requests of the budget's period so far.
 * @param objective - Promised share of good responses.
 * @returns 1 when nothing is spent, negative when more than the budget is spent; nothing without requests.
 */
export function computeBudgetLeft(counts: BurnCounts, objective: number): number | undefined {
	const burn = computeBurnRate(counts, objective);
	return burn === undefined ? undefined : 1 - burn;
}
