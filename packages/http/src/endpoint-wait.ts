import type {RatingLimits} from '@tanagerrail/routing';
import {
	computeQueuedRatingLimit, computeRatingLimit, planEndpointWait, type EndpointWaitPlan,
} from './plan-endpoint-wait.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest} from './routed-request.js';

/** Time after which the selection is retried, in milliseconds. */
const reselectMilliseconds = 25;

/** Number of requests at the front of the queue that retry the selection; the others would only repeat their probes. */
const reselectingRequests = 2;

/** Options of {@link EndpointWait}. */
export type EndpointWaitOptions = {
	readonly request: RoutedRequest;
	readonly context: RoutedContext;
	/** Addresses of endpoints that the request has tried; it must not use them again. */
	readonly excludedAddresses: ReadonlySet<string>;
	/** Called when the selection should be retried; never after the wait was cancelled. */
	readonly onEnd: () => void;
};

/**
 * Waits until an endpoint reports spare capacity, until it is the request's turn to look for one, or until the wait is over. A
 * request may wait several times, each time at the same place in the order of the queue.
 */
export class EndpointWait {
	readonly #options: EndpointWaitOptions;
	#timer: NodeJS.Timeout | undefined;
	#leaveQueue: (() => void) | undefined;
	/** Time at which the request began to look for an endpoint. */
	#since: number;

	constructor(options: EndpointWaitOptions) {
		this.#options = options;
		this.#since = options.request.arrivedAt;
	}

	/** Whether the request has waited. */
	get hasStarted(): boolean {
		return this.#leaveQueue !== undefined;
	}

	/** Whether the request has waited as long as it may. */
	get isOver(): boolean {
		return this.#options.context.clock() >= this.#plan.endAt;
	}

	/**
	 * Tells whether the request may not wait as long as that.
	 *
	 * @param milliseconds - Time from now, in milliseconds.
	 * @returns Whether its wait is over before.
	 */
	isOverWithin(milliseconds: number): boolean {
		return this.#options.context.clock() + milliseconds >= this.#plan.endAt;
	}

	/** Whether others that precede this request have just looked for an endpoint in vain, so that its probes would repeat theirs. */
	get isBehindOthers(): boolean {
		const now = this.#options.context.clock();
		return this.#queue.isSaturated(now) && this.#queue.countAhead(this.#plan.queueEntry, now) >= reselectingRequests;
	}

	/**
	 * Ratings up to which an endpoint is selected at this moment. While the request may wait on the host, it goes into no queue of an
	 * endpoint. After that it may if it would still meet its latency objective, or if no other request waits that it could hold up.
	 */
	get ratingLimits(): RatingLimits {
		const {context: {clock}, request} = this.#options;
		const now = clock();
		const withSlot = computeRatingLimit(now - request.arrivedAt, this.#usualMilliseconds);
		if (!this.isOver) {
			return {withSlot, withoutSlot: 0};
		}

		return {withSlot, withoutSlot: this.#queue.size === 0 ? Infinity : computeQueuedRatingLimit(request, now, this.#usualMilliseconds)};
	}

	/** Starts to wait. */
	start(): void {
		this.#leaveQueue = this.#queue.add({
			...this.#plan.queueEntry,
			excludedAddresses: this.#options.excludedAddresses,
			notify: () => {
				this.#end();
			},
		});
		this.#schedule();
	}

	/** Allows another wait for the next attempt of the request, as far as its timeout permits. */
	extend(): void {
		this.#since = this.#options.context.clock();
	}

	/** Cancels the wait. */
	cancel(): void {
		clearTimeout(this.#timer);
		this.#leaveQueue?.();
	}

	get #queue() {
		const {context: {selector}, request: {service}} = this.#options;
		return selector.getQueue(service);
	}

	get #plan(): EndpointWaitPlan {
		return planEndpointWait(this.#options.request, this.#since, this.#usualMilliseconds);
	}

	get #usualMilliseconds(): number | undefined {
		const {context: {profiles}, request: {route}} = this.#options;
		return profiles.get(route.name).milliseconds;
	}

	#schedule(): void {
		this.#timer = setTimeout(() => {
			if (this.isOver || !this.isBehindOthers) {
				this.#end();
				return;
			}

			this.#schedule();
		}, Math.max(0, Math.min(reselectMilliseconds, this.#plan.endAt - this.#options.context.clock())));
	}

	#end(): void {
		this.cancel();
		this.#options.onEnd();
	}
}
