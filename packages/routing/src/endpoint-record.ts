/** Load and speed that an endpoint reports. */
export type EndpointReport = {
	/** Requests that run. */
	readonly running: number;
	/** Requests that wait in the endpoint's own queue. */
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes at this moment, relative to its usual duration. */
	readonly slowness: number;
};

/** Options of {@link EndpointRecord}. */
export type EndpointRecordOptions = {
	/** Failures in a row after which the endpoint is avoided. */
	readonly failureLimit: number;
	/** First time for which it is avoided, in milliseconds; doubled with each further failure. */
	readonly avoidMilliseconds: number;
	readonly maximumAvoidMilliseconds: number;
};

/** Defaults of {@link EndpointRecordOptions}. */
export const defaultEndpointRecordOptions: EndpointRecordOptions = {failureLimit: 2, avoidMilliseconds: 500, maximumAvoidMilliseconds: 4000};

/** Time after which a failure counts half, in milliseconds. */
const failureHalfLife = 2000;

/** What this host has seen of one endpoint. */
export class EndpointRecord {
	/** Requests that this host has sent and that have not ended. */
	inFlight = 0;
	report: EndpointReport | undefined;
	/** Monotonic time of the report, in milliseconds. */
	reportedAt = -Infinity;
	readonly #options: EndpointRecordOptions;
	#failures = 0;
	#avoidedUntil = -Infinity;
	/** Requests that this host has sent since the report. */
	#sentSinceReport = 0;
	/** Share of recent requests that failed, between 0 and 1. */
	#failureShare = 0;
	#failedAt = 0;

	constructor(options: Partial<EndpointRecordOptions> = {}) {
		this.#options = {...defaultEndpointRecordOptions, ...options};
	}

	/**
	 * Computes the share of recent requests that failed.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns A share between 0 and 1; recent requests count most, and old failures fade.
	 */
	computeFailureShare(now: number): number {
		return this.#failureShare * (0.5 ** ((now - this.#failedAt) / failureHalfLife));
	}

	/** Requests that this host has sent since the last report. */
	get sentSinceReport(): number {
		return this.#sentSinceReport;
	}

	/**
	 * Tells whether the endpoint has failed too often of late.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether other endpoints go before it.
	 */
	isAvoided(now: number): boolean {
		return now < this.#avoidedUntil;
	}

	/**
	 * Takes over a report.
	 *
	 * @param report - The report.
	 * @param now - Monotonic time in milliseconds.
	 */
	updateReport(report: EndpointReport, now: number): void {
		this.report = report;
		this.reportedAt = now;
		this.#sentSinceReport = 0;
	}

	/** Counts a request that is sent to the endpoint. */
	startRequest(): void {
		this.inFlight += 1;
		this.#sentSinceReport += 1;
	}

	/** Counts a request that has ended in any way. */
	endRequest(): void {
		this.inFlight -= 1;
	}

	/** Records a response that the endpoint gave in full and that is not a server error. */
	recordSuccess(): void {
		this.#failures = 0;
		this.#avoidedUntil = -Infinity;
		this.#failureShare *= 0.7;
	}

	/**
	 * Records a failure of the endpoint.
	 *
	 * @param now - Monotonic time in milliseconds.
	 */
	recordFailure(now: number): void {
		const {failureLimit, avoidMilliseconds, maximumAvoidMilliseconds} = this.#options;
		this.#failures += 1;
		this.#failureShare = (this.computeFailureShare(now) * 0.7) + 0.3;
		this.#failedAt = now;
		if (this.#failures >= failureLimit) {
			const duration = Math.min(maximumAvoidMilliseconds, avoidMilliseconds * (2 ** (this.#failures - failureLimit)));
			this.#avoidedUntil = now + duration;
		}
	}
}
