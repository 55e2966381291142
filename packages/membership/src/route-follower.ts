import {RouteIndex, type RouteTable} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {RouteRevision, RouteSource} from './platform-sources.js';
import {waitUnlessAborted} from './wait-unless-aborted.js';

const logger = createLogger('membership');

/** Options of {@link RouteFollower}. */
export type RouteFollowerOptions = {
	readonly source: RouteSource;
	readonly clock: Clock;
	/** Called after a newer configuration was applied. */
	readonly onApplied: (table: RouteTable) => void;
	/** Longest time that one call waits for a change, in milliseconds. */
	readonly waitMilliseconds: number;
	/** Delay after the first failed call, in milliseconds; doubles with each failure up to the maximum. */
	readonly retryMilliseconds: number;
	readonly maximumRetryMilliseconds: number;
};

/**
 * Defaults of {@link RouteFollowerOptions}. A dead connection of a waiting call is detected after the wait plus the timeout
 * of a call. Their sum is below 3 s, the time after the end of a fault from which a host counts as connected again.
 */
export const defaultRouteFollowerOptions = {waitMilliseconds: 2300, retryMilliseconds: 250, maximumRetryMilliseconds: 2000};

/** Follows the configuration of routes and keeps the newest one in force; an older one never replaces it. */
export class RouteFollower {
	readonly #options: RouteFollowerOptions;
	#index: RouteIndex | undefined;
	#isConnected = true;
	#currentCall: AbortController | undefined;
	#readAt = -Infinity;

	constructor(options: Partial<RouteFollowerOptions> & Pick<RouteFollowerOptions, 'source' | 'clock' | 'onApplied'>) {
		this.#options = {...defaultRouteFollowerOptions, ...options};
	}

	/** The configuration in force. */
	get current(): RouteIndex | undefined {
		return this.#index;
	}

	/** Monotonic time at which the last successful call started, in milliseconds. */
	get readAt(): number {
		return this.#readAt;
	}

	/**
	 * Follows the source until the signal is aborted.
	 *
	 * @param signal - Stops following when aborted.
	 * @param firstPauseMilliseconds - Time between the first read and the first call that waits for a change, in milliseconds.
	 */
	async run(signal: AbortSignal, firstPauseMilliseconds = 0): Promise<void> {
		const {source, clock, waitMilliseconds, retryMilliseconds, maximumRetryMilliseconds} = this.#options;
		let cursor: number | undefined;
		let retryDelay = retryMilliseconds;
		let pause = firstPauseMilliseconds;
		while (!signal.aborted) {
			this.#currentCall = new AbortController();
			const callSignal = AbortSignal.any([signal, this.#currentCall.signal]);
			const startedAt = clock();
			const result = cursor === undefined
				? await source.readRoutes()
				: await source.waitForRoutes(cursor, {waitMilliseconds, signal: callSignal});
			if (result.isOk()) {
				retryDelay = retryMilliseconds;
				cursor = result.value.cursor;
				this.#readAt = startedAt;
				this.#handleRevision(result.value);
				if (pause > 0) {
					await waitUnlessAborted(pause, callSignal);
					pause = 0;
				}

				continue;
			}

			// After a failure the full configuration is read, because changes may have been missed.
			cursor = undefined;
			if (callSignal.aborted) {
				continue;
			}

			this.#handleFailure(result.error);
			await waitUnlessAborted(result.error.id === 'table-history-lost' ? 0 : retryDelay, callSignal);
			retryDelay = Math.min(maximumRetryMilliseconds, retryDelay * 2);
		}
	}

	/** Aborts the waiting call and reads the configuration now, because the connection may be lost or the source is back. */
	refresh(): void {
		this.#currentCall?.abort();
	}

	/**
	 * Applies a configuration that is in force on another host.
	 *
	 * @param table - The configuration; ignored unless it is newer than the one in force.
	 */
	adopt(table: RouteTable): void {
		this.#apply(table);
	}

	#handleRevision({table}: RouteRevision): void {
		if (!this.#isConnected) {
			this.#isConnected = true;
			logger.log(LogLevel.info, 'dependency-regained', {dependency: 'configuration'});
		}

		table?.match(value => {
			this.#apply(value);
		}, failure => {
			logger.logFailure(LogLevel.error, 'configuration-invalid', failure, {revision: this.#index?.table.revision});
		});
	}

	#apply(table: RouteTable): void {
		const former = this.#index?.table.revision;
		if (former !== undefined && table.revision <= former) {
			return;
		}

		this.#index = new RouteIndex(table);
		logger.log(LogLevel.info, 'configuration-applied', {revision: table.revision, former, routes: table.routes.length});
		this.#options.onApplied(table);
	}

	#handleFailure(failure: Failure): void {
		if (this.#isConnected) {
			this.#isConnected = false;
			logger.logFailure(LogLevel.warn, 'dependency-lost', failure, {dependency: 'configuration', revision: this.#index?.table.revision});
		}
	}
}
