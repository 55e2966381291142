import type {Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {EndpointSource} from './platform-sources.js';
import {waitUnlessAborted} from './wait-unless-aborted.js';

const logger = createLogger('membership');

/** Options of {@link EndpointFollower}. */
export type EndpointFollowerOptions<E> = {
	readonly source: EndpointSource<E>;
	readonly clock: Clock;
	/** Called with the endpoints of each read and the version of the registry at that time. */
	readonly onListing: (endpoints: readonly E[], version: number) => void;
	/** Called when a call fails after a successful one. */
	readonly onOutage: () => void;
	/**
	 * Called when a call succeeds after failed ones, before {@link EndpointFollowerOptions.onListing}.
	 *
	 * @param wasAway - Whether the registry itself was unavailable, so that entries of live endpoints may have expired; false
	 * if only this host could not reach it.
	 */
	readonly onOutageEnd: (wasAway: boolean) => void;
	/** Time between two reads, in milliseconds. */
	readonly intervalMilliseconds: number;
	/** Delay after the first failed call, in milliseconds; doubles with each failure up to the maximum. */
	readonly retryMilliseconds: number;
	readonly maximumRetryMilliseconds: number;
	/** Returns the factor for retry delays; 1 by default, higher on hosts that another host notifies when the registry is back. */
	readonly getRetryFactor: () => number;
};

/** Defaults of {@link EndpointFollowerOptions}. */
export const defaultEndpointFollowerOptions = {
	intervalMilliseconds: 1100, retryMilliseconds: 200, maximumRetryMilliseconds: 1000, getRetryFactor: () => 1,
};

/**
 * Share of the usual rate of changes that separates two kinds of outage. If the registry changed at a lower rate during the outage,
 * the registry itself was unavailable for most of that time; otherwise only this host could not reach it.
 */
const registryOutageChangeShare = 0.6;

/** Weight of the newest interval in the moving average of the rate of changes. */
const newestSampleWeight = 0.2;

/** Polls the registry of endpoints. */
export class EndpointFollower<E> {
	readonly #options: EndpointFollowerOptions<E>;
	#isConnected = true;
	#readAt = -Infinity;
	#unreadableCount = 0;
	/** Version of the registry at the last read. */
	#version = 0;
	/** Usual number of changes per millisecond; heartbeats of endpoints change the registry all the time. */
	#usualChangeRate: number | undefined;

	constructor(options: Partial<EndpointFollowerOptions<E>> & Omit<EndpointFollowerOptions<E>, keyof typeof defaultEndpointFollowerOptions>) {
		this.#options = {...defaultEndpointFollowerOptions, ...options};
	}

	/** Whether the last call succeeded. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Time since the registry was last read, in milliseconds. */
	get age(): number {
		return this.#options.clock() - this.#readAt;
	}

	/**
	 * Polls the registry until the signal is aborted.
	 *
	 * @param signal - Stops the polling when aborted.
	 * @param firstIntervalMilliseconds - Time between the first two reads, in milliseconds.
	 */
	async run(signal: AbortSignal, firstIntervalMilliseconds = this.#options.intervalMilliseconds): Promise<void> {
		const {source, intervalMilliseconds, retryMilliseconds, maximumRetryMilliseconds, getRetryFactor, onListing, onOutageEnd} = this.#options;
		let retryDelay = retryMilliseconds;
		let interval = firstIntervalMilliseconds;
		while (!signal.aborted) {
			const result = await source.listEndpoints();
			if (signal.aborted) {
				return;
			}

			if (result.isErr()) {
				this.#handleFailure(result.error);
				await waitUnlessAborted(retryDelay * getRetryFactor(), signal);
				retryDelay = Math.min(maximumRetryMilliseconds, retryDelay * 2);
				continue;
			}

			retryDelay = retryMilliseconds;
			const changeShare = this.#updateChangeRate(result.value.version);
			if (!this.#isConnected) {
				this.#isConnected = true;
				const wasAway = changeShare < registryOutageChangeShare;
				logger.log(LogLevel.info, 'dependency-regained', {dependency: 'endpoint-registry', changeShare: Number(changeShare.toFixed(2)), wasAway});
				onOutageEnd(wasAway);
			}

			this.#logUnreadable(result.value.unreadable);
			onListing(result.value.endpoints, result.value.version);
			await waitUnlessAborted(interval, signal);
			interval = intervalMilliseconds;
		}
	}

	/**
	 * Updates the usual rate of changes, unless the last call failed, and returns the rate since the last read as a share of
	 * the usual one.
	 */
	#updateChangeRate(version: number): number {
		const now = this.#options.clock();
		const elapsed = Math.max(1, now - this.#readAt);
		const rate = (version - this.#version) / elapsed;
		const usual = this.#usualChangeRate;
		if (this.#isConnected && Number.isFinite(elapsed)) {
			this.#usualChangeRate = usual === undefined ? rate : usual + (newestSampleWeight * (rate - usual));
		}

		this.#version = version;
		this.#readAt = now;
		return usual === undefined || usual <= 0 ? 0 : rate / usual;
	}

	#logUnreadable(unreadable: number): void {
		if (unreadable !== this.#unreadableCount) {
			this.#unreadableCount = unreadable;
			logger.log(LogLevel.warn, 'endpoint-entry-unreadable', {entries: unreadable});
		}
	}

	#handleFailure(failure: Failure): void {
		if (this.#isConnected) {
			this.#isConnected = false;
			logger.logFailure(LogLevel.warn, 'dependency-lost', failure, {dependency: 'endpoint-registry', age: Math.round(this.age)});
			this.#options.onOutage();
		}
	}
}
