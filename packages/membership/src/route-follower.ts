import {RouteIndex, type RouteTable} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {RouteRevision, RouteSource} from './platform-sources.js';
import {waitUntil} from './wait-until.js';

const logger = createLogger('membership');

/** Options of {@link RouteFollower}. */
export type RouteFollowerOptions = {
	readonly source: RouteSource;
	readonly clock: Clock;
	/** Called when a newer configuration is in force. */
	readonly onApplied: (table: RouteTable) => void;
	/** Longest wait of one call for a change, in milliseconds. */
	readonly waitMilliseconds: number;
	/** First pause after a failed call, in milliseconds; doubled up to the longest. */
	readonly retryMilliseconds: number;
	readonly maximumRetryMilliseconds: number;
};

/**
 * Defaults of {@link RouteFollowerOptions}. A waiting call whose connection has gone silent is noticed when its wait and
 * the time allowed for a call are over, which together stay below the 3 s after which a host counts as in touch again.
 */
export const defaultRouteFollowerOptions = {waitMilliseconds: 2300, retryMilliseconds: 250, maximumRetryMilliseconds: 2000};

/** Keeps the newest configuration of routes in force; an older one never replaces it. */
export class RouteFollower {
	readonly #options: RouteFollowerOptions;
	#index: RouteIndex | undefined;
	#isConnected = true;
	#waiting: AbortController | undefined;

	constructor(options: Partial<RouteFollowerOptions> & Pick<RouteFollowerOptions, 'source' | 'clock' | 'onApplied'>) {
		this.#options = {...defaultRouteFollowerOptions, ...options};
	}

	/** The configuration in force. */
	get current(): RouteIndex | undefined {
		return this.#index;
	}

	/**
	 * Follows the source.
	 *
	 * @param ended - Ends the following.
	 */
	async run(ended: AbortSignal): Promise<void> {
		const {source, waitMilliseconds, retryMilliseconds, maximumRetryMilliseconds} = this.#options;
		let cursor: number | undefined;
		let pause = retryMilliseconds;
		while (!ended.aborted) {
			this.#waiting = new AbortController();
			const signal = AbortSignal.any([ended, this.#waiting.signal]);
			const result = cursor === undefined
				? await source.readRoutes()
				: await source.waitRoutes(cursor, {waitMilliseconds, signal});
			if (result.isOk()) {
				pause = retryMilliseconds;
				cursor = result.value.cursor;
				this.#take(result.value);
				continue;
			}

			// After a failure the whole configuration is read, because changes may have been missed.
			cursor = undefined;
			if (signal.aborted) {
				continue;
			}

			this.#handleFailure(result.error);
			await waitUntil(result.error.id === 'table-history-lost' ? 0 : pause, signal);
			pause = Math.min(maximumRetryMilliseconds, pause * 2);
		}
	}

	/** Reads the configuration anew at once, because the connection of the waiting call may be lost or the source is back. */
	refresh(): void {
		this.#waiting?.abort();
	}

	/**
	 * Takes over a configuration that another host has in force.
	 *
	 * @param table - The configuration; an older one than that in force is left out.
	 */
	adopt(table: RouteTable): void {
		this.#apply(table);
	}

	#take({table}: RouteRevision): void {
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
