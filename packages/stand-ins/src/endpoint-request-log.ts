/** How a request ended at a stand-in endpoint; an `unheard` one arrived on a silenced connection and was ignored. */
export const RequestEnd = {
	answered: 'answered', refused: 'refused', failed: 'failed', cancelled: 'cancelled', expired: 'expired', crashed: 'crashed', unheard: 'unheard',
} as const;

/** How a request ended at a stand-in endpoint. */
export type RequestEnd = typeof RequestEnd[keyof typeof RequestEnd];

/** Record of a request that a stand-in endpoint received; all times are in milliseconds since the epoch. */
export type EndpointRequestRecord = {
	readonly method: string;
	readonly target: string;
	/** Value of `Idempotency-Key`. */
	readonly key: string | undefined;
	/** Value of `Stand-In-Request`, which differs between a request and its resends. */
	readonly requestId: string | undefined;
	/** SHA-256 of the body in hexadecimal. */
	readonly bodyHash: string;
	/** Value of `Request-Timeout` in milliseconds. */
	readonly timeout: number | undefined;
	readonly receivedAt: number;
	/** Start of processing; undefined if the request was never processed. */
	startedAt?: number;
	endedAt?: number;
	end?: RequestEnd;
	/** Bytes received and sent on the connection; only for probes of the load. */
	bytes?: number;
};

/** Keeps the records of the latest requests of an endpoint. */
export class EndpointRequestLog {
	readonly #minimumLength: number;
	#records: EndpointRequestRecord[] = [];

	/**
	 * @param length - Minimum number of records to keep; up to twice as many are stored.
	 */
	constructor(length = 100_000) {
		this.#minimumLength = length;
	}

	get records(): readonly EndpointRequestRecord[] {
		return this.#records;
	}

	/**
	 * Adds the record of a request that has just arrived.
	 *
	 * @param record - The record.
	 * @returns The same record; its start and end are set later.
	 */
	add(record: EndpointRequestRecord): EndpointRequestRecord {
		if (this.#records.length >= this.#minimumLength * 2) {
			this.#records = this.#records.slice(-this.#minimumLength);
		}

		this.#records.push(record);
		return record;
	}

	/** Deletes all records. */
	reset(): void {
		this.#records = [];
	}
}

/**
 * Reads the wall clock with a resolution below one millisecond.
 *
 * @returns The time in milliseconds since the epoch.
 */
export function readWallClock(): number {
	return performance.timeOrigin + performance.now();
}
