import type {Clock} from '@tanagerrail/telemetry';
import {
	computeRating, hasNoFreeSlot, isFull, type EndpointRatingInput,
} from './compute-rating.js';
import type {DirectoryEndpoint} from './endpoint-directory.js';
import {EndpointRecord, type EndpointReport} from './endpoint-record.js';
import type {SelectionRequest} from './selection.js';

/** Options of {@link EndpointRater}. */
export type EndpointRaterOptions = {
	readonly clock: Clock;
	/** Failure domain of this host. */
	readonly failureDomain: string;
	/** Cost of a remote endpoint apart from its response bytes, as a multiple of the usual duration. */
	readonly remoteCost: number;
	/** Number of response bytes from a remote endpoint that cost as much as one usual duration. */
	readonly bytesPerDuration: number;
};

/** Defaults of {@link EndpointRaterOptions}. */
export const defaultEndpointRaterOptions = {remoteCost: 0.3, bytesPerDuration: 20_000};

/** Amount added to the rating of an endpoint at which every request fails, as a multiple of the usual duration. */
const failureCost = 6;

/** Rating assumed for an endpoint without a recent report, as a multiple of the usual duration. */
const defaultRating = 1.3;

/** Age up to which a report predicts what a probe would return, in milliseconds; load and speed change many times a second. */
const usefulReportMilliseconds = 250;

/** Age of the last report up to which an endpoint counts as alive and is rated by it if it cannot be probed, in milliseconds. */
const aliveReportMilliseconds = 1500;

/**
 * Remote cost that is ignored in the decision whether to wait, as a multiple of the usual duration: up to this cost, using a remote
 * endpoint now is better than waiting for a local one.
 */
const toleratedRemoteCost = 0.6;

/** Rates endpoints by their last reports and by this host's records of them; lower ratings are better. */
export class EndpointRater {
	readonly #options: EndpointRaterOptions;
	readonly #records = new Map<string, {startedAt: number; record: EndpointRecord}>();

	constructor(options: Partial<EndpointRaterOptions> & Pick<EndpointRaterOptions, 'clock' | 'failureDomain'>) {
		this.#options = {...defaultEndpointRaterOptions, ...options};
	}

	/**
	 * Returns this host's record of an endpoint.
	 *
	 * @param endpoint - The endpoint; after each restart it gets an empty record.
	 * @returns The record.
	 */
	getRecord({id, startedAt}: Pick<DirectoryEndpoint, 'id' | 'startedAt'>): EndpointRecord {
		const entry = this.#records.get(id);
		if (entry?.startedAt === startedAt) {
			return entry.record;
		}

		const record = new EndpointRecord();
		this.#records.set(id, {startedAt, record});
		return record;
	}

	/**
	 * Drops the records of endpoints that no longer exist.
	 *
	 * @param ids - Ids of the endpoints that exist.
	 */
	dropRecordsExcept(ids: ReadonlySet<string>): void {
		for (const id of this.#records.keys()) {
			if (!ids.has(id)) {
				this.#records.delete(id);
			}
		}
	}

	/**
	 * Tells whether an endpoint has responded lately.
	 *
	 * @param endpoint - The endpoint.
	 * @returns Whether its last report is recent enough to count it as alive.
	 */
	isAlive(endpoint: DirectoryEndpoint): boolean {
		return this.#getReport(endpoint, aliveReportMilliseconds) !== undefined;
	}

	/**
	 * Tells whether the queue of an endpoint is so long that it may refuse another request.
	 *
	 * @param endpoint - The endpoint.
	 * @returns Whether all its slots are occupied and at least as many requests wait.
	 */
	isFull(endpoint: DirectoryEndpoint): boolean {
		return isFull(this.#getLoad(endpoint));
	}

	/**
	 * Tells whether one more request would wait in the queue of an endpoint.
	 *
	 * @param endpoint - The endpoint.
	 * @returns Whether no slot is left for the request.
	 */
	hasNoFreeSlot(endpoint: DirectoryEndpoint): boolean {
		return hasNoFreeSlot(this.#getLoad(endpoint));
	}

	/**
	 * Computes the rating of an endpoint by load and speed alone.
	 *
	 * @param endpoint - The endpoint.
	 * @returns The expected duration of one more request, as a multiple of the usual duration.
	 */
	computeLoadRating(endpoint: DirectoryEndpoint): number {
		return computeRating({...this.#getLoad(endpoint), isCold: this.#isCold(endpoint)});
	}

	/**
	 * Computes the cost of the failure domain of an endpoint.
	 *
	 * @param endpoint - The endpoint.
	 * @param request - The request.
	 * @returns The cost, as a multiple of the usual duration; 0 for a local endpoint.
	 */
	computeRemoteCost({failureDomain}: DirectoryEndpoint, {responseBytes}: SelectionRequest): number {
		const {remoteCost, bytesPerDuration} = this.#options;
		return failureDomain === this.#options.failureDomain ? 0 : remoteCost + (responseBytes / bytesPerDuration);
	}

	/**
	 * Computes the rating by which endpoints are compared: load, failures and the cost of a remote endpoint.
	 *
	 * @param endpoint - The endpoint.
	 * @param request - The request.
	 * @returns The rating, as a multiple of the usual duration.
	 */
	computeTotalRating(endpoint: DirectoryEndpoint, request: SelectionRequest): number {
		const now = this.#options.clock();
		const record = this.getRecord(endpoint);
		const failures = record.computeFailureShare(now) + (record.isAvoided(now) ? 1 : 0);
		return this.computeLoadRating(endpoint) + (failureCost * failures) + this.computeRemoteCost(endpoint, request);
	}

	/**
	 * Computes the rating that an endpoint is expected to have when it is probed.
	 *
	 * @param endpoint - The endpoint.
	 * @param request - The request.
	 * @returns The total rating if the last report is recent, otherwise a default.
	 */
	computeExpectedRating(endpoint: DirectoryEndpoint, request: SelectionRequest): number {
		if (this.#getReport(endpoint, usefulReportMilliseconds)) {
			return this.computeTotalRating(endpoint, request);
		}

		return defaultRating + (this.getRecord(endpoint).inFlight / endpoint.slots) + (this.#isCold(endpoint) ? 1 : 0);
	}

	/**
	 * Computes the rating that decides whether to wait for another endpoint. It leaves out failures, and the part of the remote
	 * cost that all usable endpoints have, because waiting improves neither.
	 *
	 * @param endpoint - The endpoint.
	 * @param request - The request.
	 * @param endpoints - All endpoints of the service that the request may use.
	 * @returns The rating, as a multiple of the usual duration.
	 */
	computeWaitRating(endpoint: DirectoryEndpoint, request: SelectionRequest, endpoints: readonly DirectoryEndpoint[]): number {
		const now = this.#options.clock();
		const usable = endpoints.filter(other => !this.getRecord(other).isAvoided(now));
		const lowestCost = Math.min(...usable.map(other => this.computeRemoteCost(other, request)));
		return this.computeLoadRating(endpoint) + Math.max(0, this.computeRemoteCost(endpoint, request) - Math.max(toleratedRemoteCost, lowestCost));
	}

	#isCold({coldUntil}: DirectoryEndpoint): boolean {
		return this.#options.clock() < coldUntil;
	}

	/** Returns the last report of an endpoint unless it is older than a number of milliseconds. */
	#getReport(endpoint: DirectoryEndpoint, milliseconds: number): EndpointReport | undefined {
		const {report, reportedAt} = this.getRecord(endpoint);
		return this.#options.clock() - reportedAt <= milliseconds ? report : undefined;
	}

	/** Returns the load of an endpoint: its last report, or the requests of this host if there is no recent one. */
	#getLoad(endpoint: DirectoryEndpoint): Omit<EndpointRatingInput, 'isCold'> {
		const {sentSinceReport, inFlight} = this.getRecord(endpoint);
		const report = this.#getReport(endpoint, aliveReportMilliseconds);
		if (report) {
			return {report, sentSinceReport};
		}

		return {
			sentSinceReport: 0,
			report: {
				running: inFlight, waiting: 0, slots: endpoint.slots, slowness: 1,
			},
		};
	}
}
