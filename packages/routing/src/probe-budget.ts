import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link ProbeBudget}. */
export type ProbeBudgetOptions = {
	readonly clock: Clock;
	/** Returns the number of probes per second that this host may send to a service. */
	readonly getRate: (service: string) => number;
};

/** Capacity of a token bucket, in seconds at its rate; the rate limit therefore holds only over longer periods. */
const burstSeconds = 20;

/** Tokens of one service and the monotonic time of the last refill, in milliseconds. */
type TokenBucket = {tokens: number; refilledAt: number};

/**
 * Limits the probes of this host by one token bucket per service, so that all hosts together stay within the measuring budget
 * of the endpoints.
 */
export class ProbeBudget {
	readonly #options: ProbeBudgetOptions;
	readonly #buckets = new Map<string, TokenBucket>();

	constructor(options: ProbeBudgetOptions) {
		this.#options = options;
	}

	/**
	 * Takes one probe.
	 *
	 * @param service - Service of the endpoint.
	 * @returns Whether the probe may be sent.
	 */
	take(service: string): boolean {
		const {clock, getRate} = this.#options;
		const now = clock();
		const rate = getRate(service);
		const bucket = this.#buckets.get(service) ?? {tokens: rate * burstSeconds, refilledAt: now};
		bucket.tokens = Math.min(rate * burstSeconds, bucket.tokens + ((now - bucket.refilledAt) * rate / 1000));
		bucket.refilledAt = now;
		this.#buckets.set(service, bucket);
		if (bucket.tokens < 1) {
			return false;
		}

		bucket.tokens -= 1;
		return true;
	}
}
