/** Load and speed that an endpoint reports. */
export type EndpointReport = {
	/** Requests in progress. */
	readonly running: number;
	/** Requests that wait in the endpoint's own queue. */
	readonly waiting: number;
	readonly slots: number;
	/** Current duration of work, relative to its usual duration. */
	readonly slowness: number;
};

/** Options of {@link EndpointRecord}. */
export type EndpointRecordOptions = {
	/** Number of consecutive failures after which the endpoint is avoided: others are preferred for some time. */
	readonly failureLimit: number;
	/** Time for which it is avoided after reaching the limit, in milliseconds; doubled with each further failure. */
	readonly avoidMilliseconds: number;
	readonly maximumAvoidMilliseconds: number;
};

/** Defaults of {@link EndpointRecordOptions}. */
export const defaultEndpointRecordOptions: EndpointRecordOptions = {failureLimit: 2, avoidMilliseconds: 500, maximumAvoidMilliseconds: 4000};

/** Half-life of the failure share, in milliseconds. */
const failureHalfLifeMilliseconds = 2000;

/** This host's record of one endpoint: its last report, requests in flight and failures. */
export class EndpointRecord {
	/** Requests of this host that have not ended. */
	inFlight = 0;
	/** The last report. */
	report: EndpointReport | undefined;
	/** Monotonic time of the last report, in milliseconds. */
	reportedAt = -Infinity;
	/** Whether the endpoint has answered a probe without a report; it is not probed then, because a probe would tell nothing. */
	omitsReports = false;
	readonly #options: EndpointRecordOptions;
	/** Number of consecutive failures. */
	#failures = 0;
	#avoidedUntil = -Infinity;
	/** Monotonic times at which requests were sent that the last report may not include, in milliseconds. */
	#sentAt: number[] = [];
	/** Moving average of failures at the last failure or success, between 0 and 1. */
	#failureShare = 0;
	#failedAt = 0;

	constructor(options: Partial<EndpointRecordOptions> = {}) {
		this.#options = {...defaultEndpointRecordOptions, ...options};
	}

	/**
	 * Computes the share of recent requests that failed.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns A share between 0 and 1, in which older failures count less.
	 */
	computeFailureShare(now: number): number {
		return this.#failureShare * (0.5 ** ((now - this.#failedAt) / failureHalfLifeMilliseconds));
	}

	/** Requests that this host has sent and that the last report may not include. */
	get sentSinceReport(): number {
		return this.#sentAt.length;
	}

	/**
	 * Tells whether the endpoint is avoided after consecutive failures.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether other endpoints are preferred.
	 */
	isAvoided(now: number): boolean {
		return now < this.#avoidedUntil;
	}

	/**
	 * Stores a report.
	 *
	 * @param report - The report.
	 * @param now - Monotonic time in milliseconds.
	 * @param requestedAt - Monotonic time at which a report was requested, in milliseconds; it may not include requests sent since.
	 */
	updateReport(report: EndpointReport, now: number, requestedAt = now): void {
		this.report = report;
		this.reportedAt = now;
		this.omitsReports = false;
		this.#sentAt = this.#sentAt.filter(sentAt => sentAt > requestedAt);
	}

	/**
	 * Counts a request that is sent to the endpoint.
	 *
	 * @param now - Monotonic time in milliseconds.
	 */
	startRequest(now: number): void {
		this.inFlight += 1;
		this.#sentAt.push(now);
	}

	/** Counts a request that has ended, with any outcome. */
	endRequest(): void {
		this.inFlight -= 1;
		if (this.#sentAt.length > this.inFlight) {
			this.#sentAt.shift();
		}
	}

	/** Records a complete response that is not a server error. */
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
