import type {ClassWindow} from './class-window.js';

/** Counts from which a burn rate is computed. */
export type BurnCounts = Pick<ClassWindow, 'good' | 'bad'>;

/**
 * Pairs of a short and a long window. An alert is raised while the burn rates of both are above the threshold, so that it
 * starts early and ends soon after the incident.
 */
export const burnPairs = [
	/** Alerts if 2% of the error budget are spent in one hour. */
	{shortMinutes: 5, longMinutes: 60, budgetShare: 0.02},
	/** Alerts if 5% of the error budget are spent in six hours. */
	{shortMinutes: 30, longMinutes: 360, budgetShare: 0.05},
] as const;

/**
 * Computes the burn rate, that is, how fast the error budget is spent.
 *
 * @param counts - Requests of a window.
 * @param objective - Target share of good responses, between 0 and 1.
 * @returns 1 if the budget would be used up exactly at the end of its period; `undefined` without requests.
 */
export function computeBurnRate({good, bad}: BurnCounts, objective: number): number | undefined {
	const total = good + bad;
	return total === 0 ? undefined : bad / total / Math.max(1 - objective, Number.EPSILON);
}

/**
 * Computes the burn rate at which a window spends a share of the budget.
 *
 * @param budgetShare - Share of the budget, between 0 and 1.
 * @param windowMinutes - Length of the window, in minutes.
 * @param windowDays - Period of the budget, in days.
 * @returns The rate; 14.4 if 2% of a 30-day budget are spent in one hour.
 */
export function computeBurnThreshold(budgetShare: number, windowMinutes: number, windowDays: number): number {
	return budgetShare * windowDays * 1440 / windowMinutes;
}

/**
 * Computes the share of the error budget that is left.
 *
 * @param counts - Requests in the period of the budget so far.
 * @param objective - Target share of good responses, between 0 and 1.
 * @returns 1 if nothing is spent, negative if more than the budget is spent; `undefined` without requests.
 */
export function computeBudgetLeft(counts: BurnCounts, objective: number): number | undefined {
	const burn = computeBurnRate(counts, objective);
	return burn === undefined ? undefined : 1 - burn;
}
