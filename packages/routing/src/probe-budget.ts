import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link ProbeBudget}. */
export type ProbeBudgetOptions = {
	readonly clock: Clock;
	/** Probes a second that this host may send to one service. */
	readonly getRate: (service: string) => number;
};

/** Time for which unused probes are saved up, in seconds; the budget holds over longer times. */
const savedSeconds = 20;

type ServiceTokens = {tokens: number; filledAt: number};

/** Bounds the probes of this host, so that all hosts together stay within the measuring budget of the endpoints. */
export class ProbeBudget {
	readonly #options: ProbeBudgetOptions;
	readonly #services = new Map<string, ServiceTokens>();

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
		const known = this.#services.get(service) ?? {tokens: rate * savedSeconds, filledAt: now};
		known.tokens = Math.min(rate * savedSeconds, known.tokens + ((now - known.filledAt) * rate / 1000));
		known.filledAt = now;
		this.#services.set(service, known);
		if (known.tokens < 1) {
			return false;
		}

		known.tokens -= 1;
		return true;
	}
}
