import type {ObjectStore, TableService} from '@tanagerrail/platform';
import {readMonotonicClock, type Clock} from '@tanagerrail/telemetry';
import type {ClaimHolder} from './claim-item.js';
import {waitMilliseconds, type Wait} from './wait.js';

/** Options of {@link TableClaims}. */
export type TableClaimsOptions = ClaimHolder & {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	/** Wall-clock time in milliseconds since the epoch, for the expiry of outcomes. */
	readonly now: () => number;
	readonly wait: Wait;
	/** Time allowed for settling an ambiguous claim write, in milliseconds. */
	readonly settleMilliseconds: number;
	/** Time after which a write without a response no longer takes effect, in milliseconds. */
	readonly lateWriteMilliseconds: number;
	/** Wait before the outcome of another host is read again, in milliseconds; it doubles each time. */
	readonly firstPollMilliseconds: number;
	/** Longest wait between two reads of an outcome, in milliseconds. */
	readonly longestPollMilliseconds: number;
	/** Longest time for which the caller's response waits for the write of its outcome, in milliseconds. */
	readonly finishWaitMilliseconds: number;
	/** Wait before a background write is repeated, in milliseconds; it doubles each time. */
	readonly firstRepeatMilliseconds: number;
	/** Longest wait between two repetitions of a background write, in milliseconds. */
	readonly longestRepeatMilliseconds: number;
	/** Unsettled background writes above which no new claim is made. */
	readonly maximumWaitingWrites: number;
	/** Bytes of unsettled outcomes above which no new claim is made. */
	readonly maximumWaitingBytes: number;
	/** Writes a second that this host may send to the table now. */
	getWriteRate(): number;
};

/**
 * Defaults of {@link TableClaimsOptions}. 200 unsettled writes that are repeated every 2 s cost the table 100 calls a
 * second from one host at most; 64 MiB of outcomes are a quarter of a host's memory.
 */
export const defaultTableClaimsOptions = {
	clock: readMonotonicClock,
	now: Date.now,
	wait: waitMilliseconds,
	settleMilliseconds: 1000,
	lateWriteMilliseconds: 10_000,
	firstPollMilliseconds: 20,
	longestPollMilliseconds: 500,
	finishWaitMilliseconds: 250,
	firstRepeatMilliseconds: 50,
	longestRepeatMilliseconds: 2000,
	maximumWaitingWrites: 200,
	maximumWaitingBytes: 64 * 1024 * 1024,
} as const satisfies Partial<TableClaimsOptions>;
