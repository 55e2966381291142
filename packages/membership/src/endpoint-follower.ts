import {setTimeout as wait} from 'node:timers/promises';
import type {Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {EndpointSource} from './platform-sources.js';

const logger = createLogger('membership');

/** Options of {@link EndpointFollower}. */
export type EndpointFollowerOptions<E> = {
	readonly source: EndpointSource<E>;
	readonly clock: Clock;
	/** Called with each listing. */
	readonly onListing: (endpoints: readonly E[]) => void;
	/** Called when a call has failed after one that succeeded. */
	readonly onOutage: () => void;
	/** Called with the first success after failures, before its listing. */
	readonly onOutageEnd: () => void;
	/** Time between two listings, in milliseconds. */
	readonly intervalMilliseconds: number;
	/** First pause after a failed call, in milliseconds; doubled up to the longest. */
	readonly retryMilliseconds: number;
	readonly maximumRetryMilliseconds: number;
};

/** Defaults of {@link EndpointFollowerOptions}. */
export const defaultEndpointFollowerOptions = {intervalMilliseconds: 1100, retryMilliseconds: 250, maximumRetryMilliseconds: 1000};

/** Reads the registry of endpoints again and again. */
export class EndpointFollower<E> {
	readonly #options: EndpointFollowerOptions<E>;
	#isStopped = false;
	#isConnected = true;
	#readAt = -Infinity;
	#unreadable = 0;

	constructor(options: Partial<EndpointFollowerOptions<E>> & Omit<EndpointFollowerOptions<E>, keyof typeof defaultEndpointFollowerOptions>) {
		this.#options = {...defaultEndpointFollowerOptions, ...options};
	}

	/** Time since the registry was last read, in milliseconds. */
	get age(): number {
		return this.#options.clock() - this.#readAt;
	}

	/** Follows the registry until the follower is stopped. */
	async run(): Promise<void> {
		const {source, intervalMilliseconds, retryMilliseconds, maximumRetryMilliseconds, onListing, onOutageEnd} = this.#options;
		let pause = retryMilliseconds;
		while (!this.#isStopped) {
			const result = await source.listEndpoints();
			if (result.isErr()) {
				this.#handleFailure(result.error);
				await wait(pause);
				pause = Math.min(maximumRetryMilliseconds, pause * 2);
				continue;
			}

			pause = retryMilliseconds;
			this.#readAt = this.#options.clock();
			if (!this.#isConnected) {
				this.#isConnected = true;
				logger.log(LogLevel.info, 'dependency-regained', {dependency: 'endpoint-registry'});
				onOutageEnd();
			}

			this.#logUnreadable(result.value.unreadable);
			onListing(result.value.endpoints);
			await wait(intervalMilliseconds);
		}
	}

	/** Stops following. */
	stop(): void {
		this.#isStopped = true;
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
