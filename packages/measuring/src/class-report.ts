import {resultCodes} from '@tanagerrail/results';
import {
	decodeClassWindow, getLatencyPercentile, mergeClassWindows, type ClassWindow,
} from './class-window.js';
import {
	burnPairs, computeBudgetLeft, computeBurnRate, computeBurnThreshold,
} from './compute-burn.js';
import type {StoredClass} from './level-snapshot.js';
import {windowTiers} from './window-tier.js';

/** Whether the service-level objective of a work class is met; `not-promised` if the class has no objective. */
export const LevelVerdict = {
	kept: 'kept',
	broken: 'broken',
	/**
	 * There were no requests, requests of missing hosts may have used up the error budget, or it is unknown how long a host
	 * was missing.
	 */
	unknown: 'unknown',
	notPromised: 'not-promised',
} as const;

/** One of `kept`, `broken`, `unknown` and `not-promised`. */
export type LevelVerdict = typeof LevelVerdict[keyof typeof LevelVerdict];

/** Burn rates of a short and a long window. */
export type BurnPairReport = {
	readonly shortMinutes: number;
	readonly longMinutes: number;
	readonly shortRate: number | undefined;
	readonly longRate: number | undefined;
	/** Burn rate that both windows must exceed to raise an alert. */
	readonly threshold: number;
	readonly isAlerting: boolean;
};

/** Service level and quality measures of one work class. */
export type ClassReport = {
	readonly name: string;
	readonly kind: 'short' | 'long';
	readonly objective: number | undefined;
	readonly latencyMilliseconds: number;
	readonly windowDays: number;
	/** Counts in the period of the error budget. */
	readonly good: number;
	readonly bad: number;
	readonly excluded: number;
	readonly verdict: LevelVerdict;
	readonly burn: readonly BurnPairReport[];
	/** Share of the error budget that is left; `undefined` without an objective or requests. */
	readonly budgetLeft: number | undefined;
	/**
	 * Like `budgetLeft`, but counts all requests of missing hosts as bad; also `undefined` if it is unknown how long they were
	 * missing.
	 */
	readonly budgetLeftAtWorst: number | undefined;
	/** Burn rates over 5 min and 1 h, one entry for each 5 min of the last six hours. */
	readonly burnSeries: ReadonlyArray<{readonly at: number; readonly short: number | undefined; readonly long: number | undefined}>;
	/** Latency percentiles of the last ten minutes, in milliseconds. */
	readonly latency: {readonly p50?: number; readonly p99?: number; readonly p999?: number};
	/**
	 * Request rate and share of good responses in the busiest tenth of the 10 s windows of the last ten minutes, and the
	 * share of good responses in all of these windows.
	 */
	readonly peak: {readonly requestsPerSecond: number; readonly goodShare?: number; readonly goodShareOverall?: number};
	/** The p99 of short work, in milliseconds, in 10 s windows with and without long work of the same service. */
	readonly behindLong: {readonly p99With?: number; readonly p99Without?: number; readonly ratio?: number} | undefined;
	/** Refusals in the period of the error budget by result code, the most frequent first. */
	readonly refused: ReadonlyArray<{readonly code: number; readonly id: string; readonly count: number}>;
};

/** Time for which counts of hosts are missing, for {@link buildClassReport}. */
export type MissingTime = {
	/** Number of hosts whose counts were merged. */
	readonly countedHosts: number;
	/** Sum of the times without counts of all missing hosts, in milliseconds; infinite if the time of one is unknown. */
	readonly milliseconds: number;
};

type TimedWindow = ClassWindow & {readonly start: number};

const millisecondsInMinute = 60_000;
const millisecondsInDay = 86_400_000;
const busiestWindowShare = 0.1;

/**
 * Builds the report of one work class from the counts of all hosts.
 *
 * @param parts - Counts of the class from each host process; at least one, the newest first.
 * @param now - Milliseconds since the epoch.
 * @param missing - Time without counts.
 * @returns The report.
 */
export function buildClassReport(parts: readonly StoredClass[], now: number, missing: MissingTime): ClassReport {
	const {name, kind, objective, latencyMilliseconds, windowDays} = parts[0]!;
	const fine = mergeTier(parts, 'fine', now);
	const medium = mergeTier(parts, 'medium', now);
	const total = mergeClassWindows(selectRecent(mergeTier(parts, 'coarse', now), now, windowDays * millisecondsInDay));
	const recent = mergeClassWindows(fine);
	const budgetLeft = objective === undefined ? undefined : computeBudgetLeft(total, objective);
	const budgetLeftAtWorst = objective === undefined || !Number.isFinite(missing.milliseconds) ? undefined : computeBudgetLeft(addMissing(total, medium, now, missing), objective);
	return {
		name,
		kind,
		objective,
		latencyMilliseconds,
		windowDays,
		good: total.good,
		bad: total.bad,
		excluded: total.excluded,
		verdict: decideVerdict(objective, budgetLeft, budgetLeftAtWorst),
		burn: objective === undefined
			? []
			: buildBurnReports({
				fine, medium, objective, windowDays, now,
			}),
		budgetLeft,
		budgetLeftAtWorst,
		burnSeries: objective === undefined ? [] : buildBurnSeries(medium, objective, now),
		latency: {p50: getLatencyPercentile(recent, 50), p99: getLatencyPercentile(recent, 99), p999: getLatencyPercentile(recent, 99.9)},
		peak: measurePeak(fine),
		behindLong: kind === 'short' ? measureBehindLong(fine) : undefined,
		refused: listRefusals(total),
	};
}

function mergeTier(parts: readonly StoredClass[], tier: 'fine' | 'medium' | 'coarse', now: number): TimedWindow[] {
	const byStart = new Map<number, ClassWindow[]>();
	for (const stored of parts.flatMap(part => part[tier])) {
		if (stored.start >= now - windowTiers[tier].retentionMilliseconds) {
			byStart.set(stored.start, [...byStart.get(stored.start) ?? [], decodeClassWindow(stored)]);
		}
	}

	return [...byStart].sort(([left], [right]) => left - right).map(([start, windows]) => ({start, ...mergeClassWindows(windows)}));
}

function selectRecent(windows: readonly TimedWindow[], now: number, milliseconds: number): TimedWindow[] {
	return windows.filter(({start}) => start > now - milliseconds && start <= now);
}

function sumRecent(windows: readonly TimedWindow[], now: number, milliseconds: number): {good: number; bad: number} {
	const sum = {good: 0, bad: 0};
	for (const {good, bad} of selectRecent(windows, now, milliseconds)) {
		sum.good += good;
		sum.bad += bad;
	}

	return sum;
}

/**
 * Estimates the requests of missing hosts from the mean rate per counted host over the last six hours, and adds them to
 * the bad ones.
 */
function addMissing(total: ClassWindow, medium: readonly TimedWindow[], now: number, {countedHosts, milliseconds}: MissingTime): {good: number; bad: number} {
	if (milliseconds === 0) {
		return total;
	}

	const {retentionMilliseconds} = windowTiers.medium;
	const {good, bad} = sumRecent(medium, now, retentionMilliseconds);
	const period = Math.max(millisecondsInMinute, now - (medium[0]?.start ?? now));
	const rate = (good + bad) / period / Math.max(1, countedHosts);
	return {good: total.good, bad: total.bad + (rate * milliseconds)};
}

function decideVerdict(objective: number | undefined, budgetLeft: number | undefined, worstCaseBudgetLeft: number | undefined): LevelVerdict {
	if (objective === undefined) {
		return LevelVerdict.notPromised;
	}

	if (budgetLeft !== undefined && budgetLeft < 0) {
		return LevelVerdict.broken;
	}

	return worstCaseBudgetLeft === undefined || worstCaseBudgetLeft < 0 ? LevelVerdict.unknown : LevelVerdict.kept;
}

type BurnInput = {
	readonly fine: readonly TimedWindow[];
	readonly medium: readonly TimedWindow[];
	readonly objective: number;
	readonly windowDays: number;
	readonly now: number;
};

function buildBurnReports({fine, medium, objective, windowDays, now}: BurnInput): BurnPairReport[] {
	return burnPairs.map(({shortMinutes, longMinutes, budgetShare}) => {
		const shortWindows = shortMinutes * millisecondsInMinute <= windowTiers.fine.retentionMilliseconds ? fine : medium;
		const shortRate = computeBurnRate(sumRecent(shortWindows, now, shortMinutes * millisecondsInMinute), objective);
		const longRate = computeBurnRate(sumRecent(medium, now, longMinutes * millisecondsInMinute), objective);
		const threshold = computeBurnThreshold(budgetShare, longMinutes, windowDays);
		return {
			shortMinutes, longMinutes, shortRate, longRate, threshold, isAlerting: (shortRate ?? 0) > threshold && (longRate ?? 0) > threshold,
		};
	});
}

function buildBurnSeries(medium: readonly TimedWindow[], objective: number, now: number): ClassReport['burnSeries'] {
	const hour = 60 * millisecondsInMinute;
	return medium.filter(({start}) => start <= now).map(({start, good, bad}) => ({
		at: start,
		short: computeBurnRate({good, bad}, objective),
		long: computeBurnRate(sumRecent(medium.filter(window => window.start <= start), start, hour), objective),
	}));
}

function measurePeak(fine: readonly TimedWindow[]): ClassReport['peak'] {
	const ranked = fine.map(window => ({...window, total: window.good + window.bad})).sort((left, right) => right.total - left.total);
	const busiest = ranked.slice(0, Math.max(1, Math.ceil(ranked.length * busiestWindowShare)));
	const seconds = busiest.length * windowTiers.fine.lengthMilliseconds / 1000;
	const total = busiest.reduce((sum, window) => sum + window.total, 0);
	return {
		requestsPerSecond: seconds === 0 ? 0 : Math.round(total / seconds * 10) / 10,
		goodShare: computeGoodShare(busiest),
		goodShareOverall: computeGoodShare(fine),
	};
}

function measureBehindLong(fine: readonly TimedWindow[]): ClassReport['behindLong'] {
	const p99With = getLatencyPercentile(mergeClassWindows(fine.filter(({hasLongWork}) => hasLongWork)), 99);
	const p99Without = getLatencyPercentile(mergeClassWindows(fine.filter(({hasLongWork}) => !hasLongWork)), 99);
	return {p99With, p99Without, ratio: p99With && p99Without ? p99With / p99Without : undefined};
}

function computeGoodShare(windows: ReadonlyArray<{readonly good: number; readonly bad: number}>): number | undefined {
	const good = windows.reduce((sum, window) => sum + window.good, 0);
	const bad = windows.reduce((sum, window) => sum + window.bad, 0);
	return good + bad === 0 ? undefined : good / (good + bad);
}

function listRefusals({refused}: ClassWindow): ClassReport['refused'] {
	const ids = new Map<number, string>(Object.entries(resultCodes).map(([id, {number}]) => [number, id]));
	return Object.entries(refused)
		.map(([code, count]) => ({code: Number(code), id: ids.get(Number(code)) ?? 'unknown', count}))
		.sort((left, right) => right.count - left.count || left.code - right.code);
}
