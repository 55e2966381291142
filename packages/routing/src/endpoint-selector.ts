import type {Clock} from '@tanagerrail/telemetry';
import type {DirectoryEndpoint} from './endpoint-directory.js';
import {EndpointRecord, type EndpointReport} from './endpoint-record.js';
import {isFull, computeRating} from './compute-rating.js';
import {
	ProbeStatus, type ProbedConnection, type Selection, type SelectionRefusal, type SelectionRequest, type SendProbe,
} from './selection.js';

/** Options of {@link EndpointSelector}. */
export type EndpointSelectorOptions<C extends ProbedConnection> = {
	readonly clock: Clock;
	/** Failure domain of this host. */
	readonly failureDomain: string;
	readonly listEndpoints: (service: string) => readonly DirectoryEndpoint[];
	readonly sendProbe: SendProbe<C>;
	/** Takes one probe from the probe budget of a service; false when none is left. */
	readonly takeProbe: (service: string) => boolean;
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
	/** Time after which a batch of probes is evaluated with the responses received so far, in milliseconds. */
	readonly probeTimeoutMilliseconds: number;
	/** Rating up to which an endpoint is selected without further probes, as a multiple of the usual duration. */
	readonly goodRating: number;
	/** Cost of a remote endpoint apart from its response bytes, as a multiple of the usual duration. */
	readonly remoteCost: number;
	/** Number of response bytes from a remote endpoint that cost as much as one usual duration. */
	readonly bytesPerDuration: number;
};

/** Defaults of {@link EndpointSelectorOptions}. */
export const defaultEndpointSelectorOptions = {
	isConnected: () => true,
	random: Math.random,
	localBatchSize: 2,
	remoteBatchSize: 2,
	maximumProbes: 8,
	probeTimeoutMilliseconds: 40,
	goodRating: 1.4,
	remoteCost: 0.3,
	bytesPerDuration: 20_000,
};

/** Amount added to the rating of an endpoint at which every request fails, as a multiple of the usual duration. */
const failureCost = 6;

/** Age up to which a report replaces a probe, in milliseconds. */
const freshReportMilliseconds = 8;

/** Rating assumed for an endpoint without a recent report, as a multiple of the usual duration. */
const defaultRating = 1.3;

/**
 * Added to the sort key of endpoints without an idle connection, as a multiple of the usual duration. A new connection takes
 * time and briefly occupies a slot of the endpoint, so where there are many endpoints a host prefers a few and reuses
 * its connections to them.
 */
const newConnectionCost = 0.4;

/** Age of the last report up to which an endpoint counts as alive after a probe timeout, in milliseconds. */
const aliveReportMilliseconds = 1500;

/**
 * Number of late endpoints after which probing stops if there is no other candidate. An endpoint is late if it did not respond to a
 * probe in time but counts as alive by its last report.
 */
const maximumLateCandidates = 4;

/**
 * Remote cost that is ignored in the decision whether to wait, as a multiple of the usual duration: up to this cost, using a remote
 * endpoint now is better than waiting for a local one.
 */
const toleratedRemoteCost = 0.6;

/** Age up to which a report is used to rate an endpoint before it is probed, in milliseconds. */
const usefulReportMilliseconds = 250;

/** An endpoint that may be selected, with its rating; lower is better. */
type Candidate<C extends ProbedConnection> = {
	readonly endpoint: DirectoryEndpoint;
	readonly record: EndpointRecord;
	readonly connection: C | undefined;
	readonly rating: number;
	readonly isFull: boolean;
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
	readonly #records = new Map<string, {startedAt: number; record: EndpointRecord}>();
	/** Callbacks of the requests that wait for capacity, by service and in the order of arrival. */
	readonly #waiters = new Map<string, Set<() => void>>();

	constructor(options: Partial<EndpointSelectorOptions<C>> & Omit<EndpointSelectorOptions<C>, keyof typeof defaultEndpointSelectorOptions>) {
		this.#options = {...defaultEndpointSelectorOptions, ...options};
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
	 * Stores a report that came with a response. If it shows free capacity, the request that has waited longest is notified.
	 *
	 * @param endpoint - The endpoint that reported.
	 * @param report - Its load and speed.
	 */
	updateReport(endpoint: DirectoryEndpoint, report: EndpointReport): void {
		const {clock, goodRating} = this.#options;
		this.getRecord(endpoint).updateReport(report, clock());
		if (this.#computeLoadRating(endpoint) > goodRating) {
			return;
		}

		const waiters = this.#waiters.get(endpoint.service);
		const [first] = waiters ?? [];
		if (first) {
			waiters!.delete(first);
			first();
		}
	}

	/**
	 * Registers a request that waits for capacity.
	 *
	 * @param service - Service of the request.
	 * @param notify - Called once when an endpoint of the service reports free capacity.
	 * @returns A function that ends the wait.
	 */
	waitForCapacity(service: string, notify: () => void): () => void {
		const waiters = this.#waiters.get(service) ?? new Set();
		this.#waiters.set(service, waiters);
		waiters.add(notify);
		return () => {
			waiters.delete(notify);
		};
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
	 * Selects an endpoint for a request.
	 *
	 * @param request - Requirements of the request.
	 * @returns The endpoint, with a connection if a probe left one open, or the reason why none was selected.
	 */
	async select(request: SelectionRequest): Promise<Selection<C> | SelectionRefusal> {
		const {clock, localBatchSize, remoteBatchSize, goodRating} = this.#options;
		const {maximumProbes = this.#options.maximumProbes} = request;
		const startedAt = clock();
		const [local, remote] = this.#sortEndpoints(request);
		const freshCandidate = this.#findFreshCandidate(local, request);
		const candidates: Array<Candidate<C>> = freshCandidate ? [freshCandidate] : [];
		const late: Array<Candidate<C>> = [];
		let probes = 0;
		for (const batch of [...splitBatches(local, localBatchSize), ...splitBatches(remote, remoteBatchSize)]) {
			const isRemote = remote.includes(batch[0]!);
			const bestRating = findBest(candidates)?.rating ?? Infinity;
			const targetRating = isRemote ? goodRating + this.#computeRemoteCost(batch[0]!, request) : goodRating;
			if (bestRating <= targetRating || probes >= maximumProbes || (candidates.length === 0 && late.length >= maximumLateCandidates)) {
				break;
			}

			const allowed = batch.filter(() => this.#options.takeProbe(request.service));
			if (allowed.length === 0) {
				// The probe budget is used up, so endpoints are compared by their last reports.
				candidates.push(...[...local, ...remote].map(endpoint => this.#createUnprobedCandidate(endpoint, request)).filter(candidate => candidate !== undefined));
				break;
			}

			probes += allowed.length;
			const {answered, unanswered} = await this.#probeAll(allowed, request);
			candidates.push(...answered);
			late.push(...this.#listLateCandidates(unanswered, request));
		}

		return this.#finishSelection(candidates, {
			request, probes, milliseconds: clock() - startedAt, endpoints: [...local, ...remote], late,
		});
	}

	/** Lists the local and the remote endpoints, each sorted by expected rating, best first. */
	#sortEndpoints(request: SelectionRequest): [local: DirectoryEndpoint[], remote: DirectoryEndpoint[]] {
		const {clock, random, failureDomain, isConnected} = this.#options;
		const {service, excluded} = request;
		const now = clock();
		const scores = new Map<string, number>();
		const endpoints = this.#options.listEndpoints(service).filter(({id}) => !excluded.has(id));
		for (const endpoint of endpoints) {
			const record = this.getRecord(endpoint);
			const isUseful = now - record.reportedAt < usefulReportMilliseconds;
			const expected = isUseful ? this.#computeTotalRating(endpoint, request) : defaultRating + (record.inFlight / endpoint.slots) + (now < endpoint.coldUntil ? 1 : 0);
			scores.set(endpoint.id, expected + (random() * 0.5) + (isConnected(endpoint) ? 0 : newConnectionCost) + (record.isAvoided(now) ? 100 : 0));
		}

		endpoints.sort((a, b) => scores.get(a.id)! - scores.get(b.id)!);
		return [endpoints.filter(endpoint => endpoint.failureDomain === failureDomain), endpoints.filter(endpoint => endpoint.failureDomain !== failureDomain)];
	}

	/** Cost of the failure domain of an endpoint; 0 for a local one. */
	#computeRemoteCost({failureDomain}: DirectoryEndpoint, {responseBytes}: SelectionRequest): number {
		const {remoteCost, bytesPerDuration} = this.#options;
		return failureDomain === this.#options.failureDomain ? 0 : remoteCost + (responseBytes / bytesPerDuration);
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
		const {status, report, connection} = await sendProbe(endpoint);
		const record = this.getRecord(endpoint);
		const now = clock();
		if (report) {
			record.updateReport(report, now);
		}

		if (status === ProbeStatus.unreachable || status === ProbeStatus.replaced) {
			record.recordFailure(now);
			connection?.release();
			return undefined;
		}

		const rating = this.#computeTotalRating(endpoint, request);
		return {
			endpoint, record, connection, rating,
			isFull: isFull({report: record.report ?? this.#buildAssumedReport(endpoint), sentSinceReport: record.sentSinceReport}),
			isHealthy: status === ProbeStatus.healthy,
		};
	}

	/** Finds the best local endpoint whose report is so recent that a probe would add nothing, if its rating is good. */
	#findFreshCandidate(local: readonly DirectoryEndpoint[], request: SelectionRequest): Candidate<C> | undefined {
		const {clock, goodRating} = this.#options;
		const oldest = clock() - freshReportMilliseconds;
		const candidates = local.filter(endpoint => this.getRecord(endpoint).reportedAt >= oldest).map(endpoint => this.#createUnprobedCandidate(endpoint, request));
		const best = findBest(candidates.filter(candidate => candidate !== undefined));
		return best && best.rating <= goodRating ? best : undefined;
	}

	/**
	 * Lists endpoints that did not respond in time but count as alive. If the network latency to all endpoints exceeds the
	 * probe timeout, or this host is short of processor time, a request is sent to one of them rather than refused.
	 */
	#listLateCandidates(endpoints: readonly DirectoryEndpoint[], request: SelectionRequest): Array<Candidate<C>> {
		const oldest = this.#options.clock() - aliveReportMilliseconds;
		return endpoints.filter(endpoint => this.getRecord(endpoint).reportedAt >= oldest)
			.map(endpoint => this.#createUnprobedCandidate(endpoint, request)).filter(candidate => candidate !== undefined);
	}

	/** Rates an endpoint without a probe, by its record; returns nothing for an avoided endpoint. */
	#createUnprobedCandidate(endpoint: DirectoryEndpoint, request: SelectionRequest): Candidate<C> | undefined {
		const record = this.getRecord(endpoint);
		if (record.isAvoided(this.#options.clock())) {
			return undefined;
		}

		return {
			endpoint, record, connection: undefined, rating: this.#computeTotalRating(endpoint, request), isFull: false, isHealthy: true,
		};
	}

	/** Computes the rating by which endpoints are compared: load, failures and the cost of a remote endpoint. */
	#computeTotalRating(endpoint: DirectoryEndpoint, request: SelectionRequest): number {
		const now = this.#options.clock();
		const record = this.getRecord(endpoint);
		const failures = record.computeFailureShare(now) + (record.isAvoided(now) ? 1 : 0);
		return this.#computeLoadRating(endpoint) + (failureCost * failures) + this.#computeRemoteCost(endpoint, request);
	}

	/** Computes the rating by load and speed alone. */
	#computeLoadRating(endpoint: DirectoryEndpoint): number {
		const record = this.getRecord(endpoint);
		return computeRating({
			report: record.report ?? this.#buildAssumedReport(endpoint), sentSinceReport: record.sentSinceReport, isCold: this.#options.clock() < endpoint.coldUntil,
		});
	}

	/** Builds a report for an endpoint that reports no load, from this host's own requests in flight. */
	#buildAssumedReport(endpoint: DirectoryEndpoint): EndpointReport {
		return {
			running: this.getRecord(endpoint).inFlight, waiting: 0, slots: endpoint.slots, slowness: 1,
		};
	}

	/**
	 * Computes the rating that decides whether to wait for another endpoint. It leaves out failures, and the part of the remote
	 * cost that all usable endpoints have, because waiting improves neither.
	 */
	#computeWaitRating(endpoint: DirectoryEndpoint, {request, endpoints}: SelectionRound<C>): number {
		const now = this.#options.clock();
		const usable = endpoints.filter(other => !this.getRecord(other).isAvoided(now));
		const lowestCost = Math.min(...usable.map(other => this.#computeRemoteCost(other, request)));
		return this.#computeLoadRating(endpoint) + Math.max(0, this.#computeRemoteCost(endpoint, request) - Math.max(toleratedRemoteCost, lowestCost));
	}

	/** Selects the best candidate and releases the connections of all others. */
	#finishSelection(candidates: Array<Candidate<C>>, round: SelectionRound<C>): Selection<C> | SelectionRefusal {
		const {request, probes, milliseconds, endpoints, late} = round;
		const healthy = findBest(candidates);
		const lastResort = candidates.find(candidate => !candidate.isHealthy && !candidate.isFull) ?? (candidates.length === 0 ? findBest(late) : undefined);
		const chosen = healthy ?? lastResort;
		for (const candidate of candidates) {
			if (candidate !== chosen) {
				candidate.connection?.release();
			}
		}

		if (chosen && this.#computeWaitRating(chosen.endpoint, round) <= (request.worstRating ?? Infinity)) {
			const {endpoint, record, connection, rating} = chosen;
			return {
				endpoint, record, connection,
				reason: {
					rating, report: record.report, reportAge: this.#options.clock() - record.reportedAt, probes, milliseconds, isLastResort: chosen !== healthy,
				},
			};
		}

		chosen?.connection?.release();
		if (chosen) {
			return {kind: 'slow', probes, milliseconds};
		}

		return {kind: candidates.some(candidate => candidate.isFull) || endpoints.length > 0 ? 'full' : 'none', probes, milliseconds};
	}
}

function findBest<C extends ProbedConnection>(candidates: ReadonlyArray<Candidate<C>>): Candidate<C> | undefined {
	let best: Candidate<C> | undefined;
	for (const candidate of candidates) {
		if (candidate.isHealthy && !candidate.isFull && (!best || candidate.rating < best.rating)) {
			best = candidate;
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
