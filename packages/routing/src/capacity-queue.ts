/** A request that waits until an endpoint of its service has spare capacity. */
export type WaitingRequest = {
	/** Rank of the request's route; lower ranks are served first. */
	readonly rank: number;
	/** Monotonic time at which the request arrived, in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time up to which an attempt can start and still be expected to meet the latency objective, in milliseconds. */
	readonly startBy: number;
	/** Addresses (`ip:port`) of endpoints that the request must not use again. */
	readonly excludedAddresses: ReadonlySet<string>;
	/** Called when an endpoint has reported spare capacity; the request no longer waits then. */
	readonly notify: () => void;
};

/** What decides the order of a waiting request. */
export type QueueEntry = Pick<WaitingRequest, 'rank' | 'arrivedAt' | 'startBy'>;

/** Time after a selection without an endpoint for which the service counts as saturated, in milliseconds. */
const saturationMilliseconds = 40;

/**
 * Orders the requests of one host that wait for capacity of one service: those that can still meet their latency objective
 * before those that are late, then by rank, then by arrival.
 */
export class CapacityQueue {
	readonly #waiting = new Set<WaitingRequest>();
	#refusedAt = -Infinity;

	/** Number of waiting requests. */
	get size(): number {
		return this.#waiting.size;
	}

	/**
	 * Adds a request.
	 *
	 * @param request - The request.
	 * @returns A function that ends the wait.
	 */
	add(request: WaitingRequest): () => void {
		this.#waiting.add(request);
		return () => {
			this.#waiting.delete(request);
		};
	}

	/**
	 * Records that a selection found no endpoint for a request.
	 *
	 * @param now - Monotonic time in milliseconds.
	 */
	recordRefusal(now: number): void {
		this.#refusedAt = now;
	}

	/**
	 * Tells whether the service has no spare capacity, as far as this host knows.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether a selection has lately found no endpoint.
	 */
	isSaturated(now: number): boolean {
		return now - this.#refusedAt <= saturationMilliseconds;
	}

	/**
	 * Notifies the first request that may use an endpoint; it leaves the queue.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @param address - Address of the endpoint that has spare capacity; undefined if it is not known which one has.
	 */
	notifyFirst(now: number, address?: string): void {
		let first: WaitingRequest | undefined;
		for (const request of this.#waiting) {
			if ((address === undefined || !request.excludedAddresses.has(address)) && (!first || compareRequests(request, first, now) < 0)) {
				first = request;
			}
		}

		if (first) {
			this.#waiting.delete(first);
			first.notify();
		}
	}

	/**
	 * Counts the requests that are served before another one.
	 *
	 * @param request - The other request, which may itself be in the queue.
	 * @param now - Monotonic time in milliseconds.
	 * @returns The number of waiting requests that precede it.
	 */
	countAhead(request: QueueEntry, now: number): number {
		let ahead = 0;
		for (const other of this.#waiting) {
			if (other !== request && compareRequests(other, request, now) < 0) {
				ahead += 1;
			}
		}

		return ahead;
	}
}

/** Compares two requests by the order in which they are served; negative if the first one precedes the second. */
function compareRequests(a: QueueEntry, b: QueueEntry, now: number): number {
	return Number(a.startBy < now) - Number(b.startBy < now) || a.rank - b.rank || a.arrivedAt - b.arrivedAt;
}
