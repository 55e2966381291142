/** How a request ended at a stand-in endpoint; `unheard` came on a connection that had gone silent. */
export const RunEnd = {
	answered: 'answered', refused: 'refused', failed: 'failed', cancelled: 'cancelled', expired: 'expired', crashed: 'crashed', unheard: 'unheard',
} as const;

/** One of the ends of a request. */
export type RunEnd = typeof RunEnd[keyof typeof RunEnd];

/** A request that an endpoint received; all times are milliseconds since the epoch. */
export type EndpointRun = {
	readonly method: string;
	readonly target: string;
	/** Value of `Idempotency-Key`. */
	readonly key: string | undefined;
	/** Value of `Stand-In-Request`, by which a caller tells its resends apart. */
	readonly requestId: string | undefined;
	/** SHA-256 of the body in hexadecimal. */
	readonly bodyHash: string;
	/** Value of `Request-Timeout` in milliseconds. */
	readonly timeout: number | undefined;
	readonly receivedAt: number;
	/** Nothing when the request did not begin to run. */
	startedAt?: number;
	endedAt?: number;
	end?: RunEnd;
	/** Bytes received and sent on the connection, of a probe of the load only. */
	bytes?: number;
};

/** Keeps the latest requests of an endpoint. */
export class EndpointRunLog {
	readonly #length: number;
	#runs: EndpointRun[] = [];

	/**
	 * @param length - Number of requests that are kept at least; up to twice as many are held.
	 */
	constructor(length = 100_000) {
		this.#length = length;
	}

	get runs(): readonly EndpointRun[] {
		return this.#runs;
	}

	/**
	 * Records a request that has just arrived.
	 *
	 * @param run - The request.
	 * @returns The record, to which start and end are added.
	 */
	add(run: EndpointRun): EndpointRun {
		if (this.#runs.length >= this.#length * 2) {
			this.#runs = this.#runs.slice(-this.#length);
		}

		this.#runs.push(run);
		return run;
	}

	/** Forgets all requests. */
	reset(): void {
		this.#runs = [];
	}
}

/**
 * Reads the time with a resolution below one millisecond.
 *
 * @returns Milliseconds since the epoch.
 */
export function readWallClock(): number {
	return performance.timeOrigin + performance.now();
}
