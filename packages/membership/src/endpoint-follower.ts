import type {Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {EndpointSource} from './platform-sources.js';
import {waitUntil} from './wait-until.js';

const logger = createLogger('membership');

/** Options of {@link EndpointFollower}. */
export type EndpointFollowerOptions<E> = {
	readonly source: EndpointSource<E>;
	readonly clock: Clock;
	/** Called with each listing and the version of the registry at which it was read. */
	readonly onListing: (endpoints: readonly E[], version: number) => void;
	/** Called when a call has failed after one that succeeded. */
	readonly onOutage: () => void;
	/**
	 * Called with the first success after failures, before its listing.
	 *
	 * @param wasAway - Whether the registry itself was away, so that entries of live endpoints may have lapsed; false when
	 * only this host could not reach it.
	 */
	readonly onOutageEnd: (wasAway: boolean) => void;
	/** Time between two listings, in milliseconds. */
	readonly intervalMilliseconds: number;
	/** First pause after a failed call, in milliseconds; doubled up to the longest. */
	readonly retryMilliseconds: number;
	readonly maximumRetryMilliseconds: number;
	/** How much longer the pauses are, for hosts that would hear from another one that the registry is back; 1 by default. */
	readonly getRetryFactor: () => number;
};

/** Defaults of {@link EndpointFollowerOptions}. */
export const defaultEndpointFollowerOptions = {
	intervalMilliseconds: 1100, retryMilliseconds: 200, maximumRetryMilliseconds: 1000, getRetryFactor: () => 1,
};

/** Part of the usual changes below which the registry was away for most of the time. */
const awayShare = 0.6;

/** Weight of the newest interval in the usual rate of changes. */
const newestWeight = 0.2;

/** Reads the registry of endpoints again and again. */
export class EndpointFollower<E> {
	readonly #options: EndpointFollowerOptions<E>;
	#isConnected = true;
	#readAt = -Infinity;
	#unreadable = 0;
	/** Version of the registry at the last reading. */
	#version = 0;
	/** Usual changes of the registry in a millisecond; endpoints that send heartbeats change it all the time. */
	#changeRate: number | undefined;

	constructor(options: Partial<EndpointFollowerOptions<E>> & Omit<EndpointFollowerOptions<E>, keyof typeof defaultEndpointFollowerOptions>) {
		this.#options = {...defaultEndpointFollowerOptions, ...options};
	}

	/** Whether the last call has succeeded. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Time since the registry was last read, in milliseconds. */
	get age(): number {
		return this.#options.clock() - this.#readAt;
	}

	/**
	 * Follows the registry.
	 *
	 * @param signal - Ends the following.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const {source, intervalMilliseconds, retryMilliseconds, maximumRetryMilliseconds, getRetryFactor, onListing, onOutageEnd} = this.#options;
		let pause = retryMilliseconds;
		while (!signal.aborted) {
			const result = await source.listEndpoints();
			if (signal.aborted) {
				return;
			}

			if (result.isErr()) {
				this.#handleFailure(result.error);
				await waitUntil(pause * getRetryFactor(), signal);
				pause = Math.min(maximumRetryMilliseconds, pause * 2);
				continue;
			}

			pause = retryMilliseconds;
			const share = this.#measureChanges(result.value.version);
			if (!this.#isConnected) {
				this.#isConnected = true;
				const wasAway = share < awayShare;
				logger.log(LogLevel.info, 'dependency-regained', {dependency: 'endpoint-registry', changeShare: Number(share.toFixed(2)), wasAway});
				onOutageEnd(wasAway);
			}

			this.#logUnreadable(result.value.unreadable);
			onListing(result.value.endpoints, result.value.version);
			await waitUntil(intervalMilliseconds, signal);
		}
	}

	/** Compares the changes since the last reading with the usual rate, which is learned while readings succeed. */
	#measureChanges(version: number): number {
		const now = this.#options.clock();
		const elapsed = Math.max(1, now - this.#readAt);
		const rate = (version - this.#version) / elapsed;
		const usual = this.#changeRate;
		if (this.#isConnected && Number.isFinite(elapsed)) {
			this.#changeRate = usual === undefined ? rate : usual + (newestWeight * (rate - usual));
		}

		this.#version = version;
		this.#readAt = now;
		return usual === undefined || usual <= 0 ? 0 : rate / usual;
	}

	#logUnreadable(unreadable: number): void {
		if (unreadable !== this.#unreadable) {
			this.#unreadable = unreadable;
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
