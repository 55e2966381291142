import {CapacityQueue} from './capacity-queue.js';
import {EndpointAvailability, type AvailableEndpoints, type EndpointNotice} from './endpoint-availability.js';
import type {DirectoryEndpoint} from './endpoint-directory.js';
import {defaultEndpointRaterOptions, EndpointRater, type EndpointRaterOptions} from './endpoint-rater.js';
import type {EndpointRecord, EndpointReport} from './endpoint-record.js';
import {
	ProbeStatus, type ProbedConnection, type Selection, type SelectionRefusal, type SelectionRequest, type SendProbe,
} from './selection.js';

/** Options of {@link EndpointSelector}. */
export type EndpointSelectorOptions<C extends ProbedConnection> = EndpointRaterOptions & {
	readonly listEndpoints: (service: string) => readonly DirectoryEndpoint[];
	readonly sendProbe: SendProbe<C>;
	/** Takes one probe from the probe budget of a service; false when none is left. */
	readonly takeProbe: (service: string) => boolean;
	/** Which endpoints are leaving or have asked for a pause. */
	readonly availability: EndpointAvailability;
	/** Whether this host has an open, idle connection to the endpoint. */
	readonly isConnected: (endpoint: DirectoryEndpoint) => boolean;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
	/** Number of concurrent probes to local endpoints, which are those of this host's failure domain. */
	readonly localBatchSize: number;
	/** Number of concurrent probes to remote endpoints, which are those of other failure domains. */
	readonly remoteBatchSize: number;
	/** Maximum number of probes of one selection. */
	readonly maximumProbes: number;
	/** Maximum number of probes of one selection for a request that has waited. */
	readonly maximumReselectionProbes: number;
	/** Time after which a batch of probes is evaluated with the responses received so far, in milliseconds. */
	readonly probeTimeoutMilliseconds: number;
	/** Rating up to which an endpoint is selected without further probes, as a multiple of the usual duration. */
	readonly goodRating: number;
};

/** Defaults of {@link EndpointSelectorOptions}. */
export const defaultEndpointSelectorOptions = {
	...defaultEndpointRaterOptions,
	isConnected: () => true,
	random: Math.random,
	localBatchSize: 2,
	remoteBatchSize: 2,
	maximumProbes: 8,
	maximumReselectionProbes: 2,
	probeTimeoutMilliseconds: 40,
	goodRating: 1.4,
};

/** Highest (worst) rating by load and speed at which a report wakes a waiting request. */
const spareCapacityRating = 2;

/**
 * Time that a response takes from the endpoint until this host has read it, in milliseconds; its report includes no request sent
 * since.
 */
const responseTravelMilliseconds = 5;

/** Age up to which a report replaces a probe, in milliseconds. */
const freshReportMilliseconds = 8;

/**
 * Added to the sort key of endpoints without an idle connection, as a multiple of the usual duration. A new connection takes
 * time and briefly occupies a slot of the endpoint, so where there are many endpoints a host prefers a few and reuses
 * its connections to them.
 */
const newConnectionCost = 0.4;

/**
 * Number of late endpoints after which probing stops if there is no other candidate. An endpoint is late if it did not respond to a
 * probe in time but counts as alive by its last report.
 */
const maximumLateCandidates = 4;

/** An endpoint that may be selected. Its load is computed when it is compared, since other requests may have been sent meanwhile. */
type Candidate<C extends ProbedConnection> = {
	readonly endpoint: DirectoryEndpoint;
	readonly record: EndpointRecord;
	readonly connection: C | undefined;
	/** Computes the rating; lower is better. */
	readonly rate: () => number;
	/** Whether the queue of the endpoint is so long that it may refuse the request. */
	readonly isFull: () => boolean;
	readonly isHealthy: boolean;
};

/** State of one selection after its last probe. */
type SelectionRound<C extends ProbedConnection> = {
	readonly request: SelectionRequest;
	readonly probes: number;
	readonly milliseconds: number;
	readonly endpoints: readonly DirectoryEndpoint[];
	/** Endpoints that count as alive but did not respond to a probe in time. */
	readonly late: ReadonlyArray<Candidate<C>>;
};

/**
 * Selects endpoints by probing a few of them immediately before a request is sent, because their load and speed change
 * many times a second. Local endpoints are probed first, remote ones only if the local ones are slow or full.
 */
export class EndpointSelector<C extends ProbedConnection> {
	readonly #options: EndpointSelectorOptions<C>;
	readonly #rater: EndpointRater;
	/** Requests that wait for capacity, by service. */
	readonly #queues = new Map<string, CapacityQueue>();

	constructor(options: Partial<EndpointSelectorOptions<C>> & Omit<EndpointSelectorOptions<C>, keyof typeof defaultEndpointSelectorOptions | 'availability'>) {
		this.#options = {availability: new EndpointAvailability({clock: options.clock}), ...defaultEndpointSelectorOptions, ...options};
		this.#rater = new EndpointRater(options);
	}

	/**
	 * Returns this host's record of an endpoint.
	 *
	 * @param endpoint - The endpoint; after each restart it gets an empty record.
	 * @returns The record.
	 */
	getRecord(endpoint: Pick<DirectoryEndpoint, 'id' | 'startedAt'>): EndpointRecord {
		return this.#rater.getRecord(endpoint);
	}

	/**
	 * Drops the records of endpoints that no longer exist.
	 *
	 * @param endpoints - The endpoints that exist.
	 */
	dropRecordsExcept(endpoints: readonly DirectoryEndpoint[]): void {
		this.#rater.dropRecordsExcept(new Set(endpoints.map(({id}) => id)));
		this.#options.availability.dropRecordsExcept(endpoints);
	}

	/**
	 * Records what an endpoint asked for with a response.
	 *
	 * @param endpoint - The endpoint.
	 * @param notice - The notice.
	 */
	recordNotice(endpoint: DirectoryEndpoint, notice: EndpointNotice): void {
		this.#options.availability.recordNotice(endpoint, notice);
	}

	/**
	 * Stores a report that came with a response. If it shows spare capacity, the first of the waiting requests is notified.
	 *
	 * @param endpoint - The endpoint that reported.
	 * @param report - Its load and speed.
	 */
	updateReport(endpoint: DirectoryEndpoint, report: EndpointReport): void {
		const {clock, goodRating} = this.#options;
		const now = clock();
		this.#rater.getRecord(endpoint).updateReport(report, now, now - responseTravelMilliseconds);
		const hasSpareCapacity = this.#rater.computeLoadRating(endpoint) <= spareCapacityRating && !this.#rater.hasNoFreeSlot(endpoint);
		if (hasSpareCapacity && this.#options.availability.isAvailable(endpoint)) {
			this.#queues.get(endpoint.service)?.notifyFirst(now, endpoint.address);
		}
	}

	/**
	 * Returns the queue of the requests that wait for capacity of a service.
	 *
	 * @param service - Name of the service.
	 * @returns The queue.
	 */
	getQueue(service: string): CapacityQueue {
		const queue = this.#queues.get(service) ?? new CapacityQueue();
		this.#queues.set(service, queue);
		return queue;
	}

	/**
	 * Selects an endpoint for a request.
	 *
	 * @param request - Requirements of the request.
	 * @returns The endpoint, with a connection if a probe left one open, or the reason why none was selected.
	 */
	async select(request: SelectionRequest): Promise<Selection<C> | SelectionRefusal> {
		const {clock, localBatchSize, remoteBatchSize, goodRating} = this.#options;
		const {hasWaited = false} = request;
		const maximumProbes = hasWaited ? this.#options.maximumReselectionProbes : this.#options.maximumProbes;
		const startedAt = clock();
		const [local, remote] = this.#sortEndpoints(request);
		const endpoints = [...local, ...remote];
		const freshCandidate = this.#findFreshCandidate(hasWaited ? endpoints : local, request);
		const candidates: Array<Candidate<C>> = [...(freshCandidate ? [freshCandidate] : []), ...this.#listCandidatesWithoutReports(endpoints, request)];
		const late: Array<Candidate<C>> = [];
		const isProbed = (endpoint: DirectoryEndpoint) => !this.#rater.getRecord(endpoint).omitsReports;
		let probes = 0;
		for (const batch of [...splitBatches(local.filter(isProbed), localBatchSize), ...splitBatches(remote.filter(isProbed), remoteBatchSize)]) {
			const isRemote = remote.includes(batch[0]!);
			const bestRating = findBest(this.#listSelectable(candidates, request, endpoints))?.rate() ?? Infinity;
			const targetRating = isRemote ? goodRating + this.#rater.computeRemoteCost(batch[0]!, request) : goodRating;
			if (bestRating <= targetRating || probes >= maximumProbes || (candidates.length === 0 && late.length >= maximumLateCandidates)) {
				break;
			}

			const allowed = batch.filter(() => this.#options.takeProbe(request.service));
			if (allowed.length === 0) {
				// The probe budget is used up, so endpoints are compared by their last reports.
				candidates.push(...this.#listUnprobedCandidates(endpoints, endpoint => this.#rater.computeExpectedRating(endpoint, request)));
				break;
			}

			probes += allowed.length;
			const {answered, unanswered} = await this.#probeAll(allowed, request);
			candidates.push(...answered);
			late.push(...this.#listLateCandidates(unanswered, request));
		}

		return this.#finishSelection(candidates, {
			request, probes, milliseconds: clock() - startedAt, endpoints, late,
		});
	}

	#findAvailable(service: string): AvailableEndpoints {
		return this.#options.availability.findAvailable(this.#options.listEndpoints(service));
	}

	/** Lists the local and the remote endpoints, each sorted by expected rating, best first. */
	#sortEndpoints(request: SelectionRequest): [local: DirectoryEndpoint[], remote: DirectoryEndpoint[]] {
		const {clock, random, failureDomain, isConnected} = this.#options;
		const {service, excludedAddresses} = request;
		const now = clock();
		const scores = new Map<string, number>();
		const endpoints = this.#findAvailable(service).endpoints.filter(({address}) => !excludedAddresses.has(address));
		for (const endpoint of endpoints) {
			const expected = this.#rater.computeExpectedRating(endpoint, request);
			const isAvoided = this.#rater.getRecord(endpoint).isAvoided(now);
			scores.set(endpoint.id, expected + (random() * 0.5) + (isConnected(endpoint) ? 0 : newConnectionCost) + (isAvoided ? 100 : 0));
		}

		endpoints.sort((a, b) => scores.get(a.id)! - scores.get(b.id)!);
		return [endpoints.filter(endpoint => endpoint.failureDomain === failureDomain), endpoints.filter(endpoint => endpoint.failureDomain !== failureDomain)];
	}

	/** Probes endpoints concurrently; the connections of responses that arrive after the timeout are released. */
	async #probeAll(endpoints: readonly DirectoryEndpoint[], request: SelectionRequest): Promise<{answered: Array<Candidate<C>>; unanswered: DirectoryEndpoint[]}> {
		const {probeTimeoutMilliseconds} = this.#options;
		const answered: Array<Candidate<C>> = [];
		const unanswered = new Set(endpoints);
		let isCollecting = true;
		const probes = endpoints.map(async endpoint => {
			const candidate = await this.#probe(endpoint, request);
			if (!isCollecting) {
				candidate?.connection?.release();
				return;
			}

			unanswered.delete(endpoint);
			if (candidate) {
				answered.push(candidate);
			}
		});
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<void>(resolve => {
			// After a pause of the process, responses that have already arrived are read before the timeout takes effect.
			timer = setTimeout(() => {
				setImmediate(resolve);
			}, probeTimeoutMilliseconds);
		});
		await Promise.race([Promise.all(probes), timeout]);
		clearTimeout(timer);
		isCollecting = false;
		return {answered, unanswered: [...unanswered]};
	}

	async #probe(endpoint: DirectoryEndpoint, request: SelectionRequest): Promise<Candidate<C> | undefined> {
		const {clock, sendProbe} = this.#options;
		const requestedAt = clock();
		const {status, report, notice, connection} = await sendProbe(endpoint);
		if (notice) {
			this.recordNotice(endpoint, notice);
		}

		const record = this.#rater.getRecord(endpoint);
		const now = clock();
		if (report) {
			record.updateReport(report, now, requestedAt);
		}

		record.omitsReports = status === ProbeStatus.healthy && !report;
		if (status === ProbeStatus.unreachable || status === ProbeStatus.replaced) {
			record.recordFailure(now);
			connection?.release();
			return undefined;
		}

		return {
			endpoint, record, connection, isHealthy: status === ProbeStatus.healthy,
			rate: () => this.#rater.computeTotalRating(endpoint, request),
			isFull: () => this.#rater.isFull(endpoint),
		};
	}

	/** Finds the best endpoint whose report is so recent that a probe would add nothing, if its rating is good. */
	#findFreshCandidate(endpoints: readonly DirectoryEndpoint[], request: SelectionRequest): Candidate<C> | undefined {
		const {clock, goodRating} = this.#options;
		const oldest = clock() - freshReportMilliseconds;
		const fresh = endpoints.filter(endpoint => this.#rater.getRecord(endpoint).reportedAt >= oldest);
		const candidates = this.#listUnprobedCandidates(fresh, endpoint => this.#rater.computeTotalRating(endpoint, request));
		const best = findBest(this.#listSelectable(candidates, request, endpoints));
		return best && best.rate() <= goodRating ? best : undefined;
	}

	/** Lists the endpoints that are not probed because they omit reports; they are rated by the requests of this host. */
	#listCandidatesWithoutReports(endpoints: readonly DirectoryEndpoint[], request: SelectionRequest): Array<Candidate<C>> {
		const unprobed = endpoints.filter(endpoint => this.#rater.getRecord(endpoint).omitsReports);
		return this.#listUnprobedCandidates(unprobed, endpoint => this.#rater.computeTotalRating(endpoint, request));
	}

	/**
	 * Lists endpoints that did not respond in time but count as alive. If the network latency to all endpoints exceeds the
	 * probe timeout, or this host is short of processor time, a request is sent to one of them rather than refused.
	 */
	#listLateCandidates(endpoints: readonly DirectoryEndpoint[], request: SelectionRequest): Array<Candidate<C>> {
		const alive = endpoints.filter(endpoint => this.#rater.isAlive(endpoint));
		return this.#listUnprobedCandidates(alive, endpoint => this.#rater.computeTotalRating(endpoint, request));
	}

	/** Rates endpoints without a probe; avoided ones are left out. */
	#listUnprobedCandidates(endpoints: readonly DirectoryEndpoint[], rate: (endpoint: DirectoryEndpoint) => number): Array<Candidate<C>> {
		const now = this.#options.clock();
		return endpoints.filter(endpoint => !this.#rater.getRecord(endpoint).isAvoided(now)).map(endpoint => ({
			endpoint, record: this.#rater.getRecord(endpoint), connection: undefined, isHealthy: true, rate: () => rate(endpoint), isFull: () => false,
		}));
	}

	/**
	 * Lists the candidates that the request may use now. In the queue of an endpoint, a request could neither go to another endpoint
	 * nor be overtaken by a more urgent one, so there is a limit of its own for endpoints without a free slot.
	 */
	#listSelectable(candidates: ReadonlyArray<Candidate<C>>, request: SelectionRequest, endpoints: readonly DirectoryEndpoint[]): Array<Candidate<C>> {
		const {withSlot, withoutSlot} = request.getRatingLimits?.() ?? {withSlot: Infinity, withoutSlot: Infinity};
		return candidates.filter(({endpoint}) => {
			const limit = this.#rater.hasNoFreeSlot(endpoint) ? Math.min(withSlot, withoutSlot) : withSlot;
			return this.#rater.computeWaitRating(endpoint, request, endpoints) <= limit;
		});
	}

	/** Finds an endpoint for the case that no healthy one with capacity has responded. */
	#findLastResort(candidates: ReadonlyArray<Candidate<C>>, late: ReadonlyArray<Candidate<C>>): Candidate<C> | undefined {
		return candidates.length === 0 ? findBest(late) : candidates.find(candidate => !candidate.isHealthy && !candidate.isFull());
	}

	/** Selects the best candidate and releases the connections of all others. */
	#finishSelection(candidates: Array<Candidate<C>>, round: SelectionRound<C>): Selection<C> | SelectionRefusal {
		const {request, probes, milliseconds, endpoints, late} = round;
		const {endpoints: available, pauseMilliseconds} = this.#findAvailable(request.service);
		const availableIds = new Set(available.map(({id}) => id));
		// An endpoint may have asked for a pause, or announced that it is leaving, with its response to a probe.
		const usable = candidates.filter(({endpoint: {id}}) => availableIds.has(id));
		const hasHealthy = findBest(usable) !== undefined;
		const lastResort = hasHealthy ? undefined : this.#findLastResort(usable, late.filter(({endpoint: {id}}) => availableIds.has(id)));
		const chosen = lastResort ? this.#listSelectable([lastResort], request, endpoints).at(0) : findBest(this.#listSelectable(usable, request, endpoints));
		for (const candidate of candidates) {
			if (candidate !== chosen) {
				candidate.connection?.release();
			}
		}

		if (chosen) {
			const {endpoint, record, connection} = chosen;
			const rating = chosen.rate();
			record.startRequest(this.#options.clock());
			return {
				endpoint, record, connection,
				reason: {
					rating, report: record.report, reportAge: this.#options.clock() - record.reportedAt, probes, milliseconds, isLastResort: chosen === lastResort,
				},
			};
		}

		if (pauseMilliseconds !== undefined) {
			return {
				kind: 'paused', probes, milliseconds, pauseMilliseconds,
			};
		}

		this.getQueue(request.service).recordRefusal(this.#options.clock());
		if (hasHealthy || lastResort) {
			return {kind: 'slow', probes, milliseconds};
		}

		return {kind: endpoints.length > 0 ? 'full' : 'none', probes, milliseconds};
	}
}

function findBest<C extends ProbedConnection>(candidates: ReadonlyArray<Candidate<C>>): Candidate<C> | undefined {
	let best: Candidate<C> | undefined;
	let bestRating = Infinity;
	for (const candidate of candidates) {
		const rating = candidate.rate();
		if (candidate.isHealthy && !candidate.isFull() && rating < bestRating) {
			best = candidate;
			bestRating = rating;
		}
	}

	return best;
}

function splitBatches<T>(items: readonly T[], size: number): T[][] {
	const batches: T[][] = [];
	for (let index = 0; index < items.length; index += size) {
		batches.push(items.slice(index, index + size));
	}

	return batches;
}
