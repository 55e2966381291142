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
	/** Time limit for finding out whether a claim write without a response took effect, in milliseconds. */
	readonly settleMilliseconds: number;
	/** Time after which a write without a response can no longer take effect, in milliseconds. */
	readonly lateWriteMilliseconds: number;
	/** Delay before the outcome of a claim of another host is read again, in milliseconds; doubles with each read. */
	readonly initialPollDelayMilliseconds: number;
	/** Longest delay between two reads of an outcome, in milliseconds. */
	readonly maximumPollDelayMilliseconds: number;
	/** Longest time by which the write of the outcome delays the caller's response, in milliseconds. */
	readonly outcomeWriteWaitMilliseconds: number;
	/** Delay before the first retry of a background write, in milliseconds; doubles with each retry. */
	readonly initialRetryDelayMilliseconds: number;
	/** Longest delay between two retries of a background write, in milliseconds. */
	readonly maximumRetryDelayMilliseconds: number;
	/** Number of background writes being retried at which new claims are refused. */
	readonly maximumRetryingWrites: number;
	/** Memory held by outcomes that are not stored yet, in bytes, at which new claims are refused. */
	readonly maximumPendingBytes: number;
	/** Returns the number of writes per second that this host may currently send to the table. */
	getWriteRate(): number;
};

/**
 * Defaults of {@link TableClaimsOptions}. 200 writes that are retried every 2 s cost the table at most 100 calls per second
 * from one host; 64 MiB of outcomes are a quarter of a host's memory.
 */
export const defaultTableClaimsOptions = {
	clock: readMonotonicClock,
	now: Date.now,
	wait: waitMilliseconds,
	settleMilliseconds: 1000,
	lateWriteMilliseconds: 10_000,
	initialPollDelayMilliseconds: 20,
	maximumPollDelayMilliseconds: 500,
	outcomeWriteWaitMilliseconds: 250,
	initialRetryDelayMilliseconds: 50,
	maximumRetryDelayMilliseconds: 2000,
	maximumRetryingWrites: 200,
	maximumPendingBytes: 64 * 1024 * 1024,
} as const satisfies Partial<TableClaimsOptions>;
