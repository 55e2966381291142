import type {Clock} from '@tanagerrail/telemetry';
import type {DirectoryEndpoint} from './endpoint-directory.js';
import {EndpointRecord, type EndpointReport} from './endpoint-record.js';
import {isFull, computeRating} from './compute-rating.js';
import {
	ProbeVerdict, type ProbedConnection, type Selection, type SelectionRefusal, type SelectionRequest, type SendProbe,
} from './selection.js';

/** Options of {@link EndpointSelector}. */
export type EndpointSelectorOptions<C extends ProbedConnection> = {
	readonly clock: Clock;
	/** Failure domain of this host. */
	readonly failureDomain: string;
	readonly listEndpoints: (service: string) => readonly DirectoryEndpoint[];
	readonly sendProbe: SendProbe<C>;
	/** Whether one more probe is within the measuring budget. */
	readonly takeProbe: (service: string) => boolean;
	/** Whether a connection to an endpoint is open and idle. */
	readonly isConnected: (endpoint: DirectoryEndpoint) => boolean;
	/** Returns a random number from 0 to below 1. */
	readonly draw: () => number;
	/** Probes sent at once in the own failure domain. */
	readonly nearBatch: number;
	/** Probes sent at once in other failure domains. */
	readonly farBatch: number;
	/** Probes for one selection at most. */
	readonly maximumProbes: number;
	/** Time after which the answers that have arrived decide, in milliseconds. */
	readonly probeMilliseconds: number;
	/** An endpoint rated as well as this is taken without asking others, in usual durations of the work. */
	readonly goodRating: number;
	/** Cost of another failure domain, in usual durations of the work. */
	readonly domainCost: number;
	/** Response bytes from another failure domain that cost as much as one usual duration of the work. */
	readonly bytesPerDuration: number;
};

/** Defaults of {@link EndpointSelectorOptions}. */
export const defaultEndpointSelectorOptions = {
	isConnected: () => true,
	draw: Math.random,
	nearBatch: 2,
	farBatch: 2,
	maximumProbes: 8,
	probeMilliseconds: 40,
	goodRating: 1.4,
	domainCost: 0.3,
	bytesPerDuration: 20_000,
};

/** Cost of a certain failure, in usual durations of the work. */
const failureCost = 6;

/** Age up to which a report is as good as a probe, in milliseconds. */
const freshMilliseconds = 8;

/** Rating that is expected of an endpoint without a recent report. */
const unknownRating = 1.3;

/**
 * How much later an endpoint to which no connection is open is asked, in usual durations of the work. Among many endpoints
 * a host so keeps to a few, whose connections stay in use; a new one takes time, and a slot of the endpoint for a moment.
 */
const connectionCost = 0.4;

/** Age of a report up to which an endpoint that has not answered a probe in time counts as alive, in milliseconds. */
const aliveMilliseconds = 1500;

/** Endpoints alive whose answers are late after which no more are asked. */
const lateLimit = 4;

/** Distance that does not count as a reason to wait for a better endpoint, in usual durations of the work. */
const usualDistance = 0.6;

/** Age up to which a report says something about the endpoint's speed, in milliseconds. */
const usefulReportAge = 250;

type Candidate<C extends ProbedConnection> = {
	readonly endpoint: DirectoryEndpoint;
	readonly record: EndpointRecord;
	readonly connection: C | undefined;
	readonly rating: number;
	readonly isFull: boolean;
	readonly isHealthy: boolean;
};

type ProbedEndpoints<C extends ProbedConnection> = {
	readonly request: SelectionRequest;
	readonly probes: number;
	readonly milliseconds: number;
	readonly endpoints: readonly DirectoryEndpoint[];
	/** Endpoints alive whose answers are late. */
	readonly late: ReadonlyArray<Candidate<C>>;
};

/**
 * Chooses endpoints by asking a few of them immediately before a request is sent, because their load and speed change
 * many times a second. Endpoints of the own failure domain are asked first; others only when those are slow or full.
 */
export class EndpointSelector<C extends ProbedConnection> {
	readonly #options: EndpointSelectorOptions<C>;
	readonly #records = new Map<string, {startedAt: number; record: EndpointRecord}>();
	/** Requests that wait for a good endpoint of a service, in the order of their arrival. */
	readonly #waiters = new Map<string, Set<() => void>>();

	constructor(options: Partial<EndpointSelectorOptions<C>> & Omit<EndpointSelectorOptions<C>, keyof typeof defaultEndpointSelectorOptions>) {
		this.#options = {...defaultEndpointSelectorOptions, ...options};
	}

	/**
	 * Returns what this host has seen of an endpoint.
	 *
	 * @param endpoint - The endpoint; a new start of it begins with an empty record.
	 * @returns The record.
	 */
	getRecord({id, startedAt}: Pick<DirectoryEndpoint, 'id' | 'startedAt'>): EndpointRecord {
		const known = this.#records.get(id);
		if (known?.startedAt === startedAt) {
			return known.record;
		}

		const record = new EndpointRecord();
		this.#records.set(id, {startedAt, record});
		return record;
	}

	/**
	 * Takes over a report that came with a response. If it tells of room, the request that has waited longest looks again.
	 *
	 * @param endpoint - The endpoint that reported.
	 * @param report - Its load and speed.
	 */
	updateReport(endpoint: DirectoryEndpoint, report: EndpointReport): void {
		const {clock, goodRating} = this.#options;
		this.getRecord(endpoint).updateReport(report, clock());
		if (this.#computePace(endpoint) > goodRating) {
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
	 * Registers a request that waits for a good endpoint.
	 *
	 * @param service - Service of the endpoint.
	 * @param notify - Called once when an endpoint reports room.
	 * @returns Ends the wait.
	 */
	waitReport(service: string, notify: () => void): () => void {
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
	 * @param ids - Endpoints that exist.
	 */
	dropOthers(ids: ReadonlySet<string>): void {
		for (const id of this.#records.keys()) {
			if (!ids.has(id)) {
				this.#records.delete(id);
			}
		}
	}

	/**
	 * Chooses an endpoint.
	 *
	 * @param request - What the endpoint is for.
	 * @returns The endpoint with a connection to it, or why there is none.
	 */
	async select(request: SelectionRequest): Promise<Selection<C> | SelectionRefusal> {
		const {clock, nearBatch, farBatch, goodRating} = this.#options;
		const {maximumProbes = this.#options.maximumProbes} = request;
		const startedAt = clock();
		const [near, far] = this.#rank(request);
		const fresh = this.#findFresh(near, request);
		const candidates: Array<Candidate<C>> = fresh ? [fresh] : [];
		const late: Array<Candidate<C>> = [];
		let probes = 0;
		for (const batch of [...splitBatches(near, nearBatch), ...splitBatches(far, farBatch)]) {
			const isFar = far.includes(batch[0]!);
			const bestRating = findBest(candidates)?.rating ?? Infinity;
			const target = isFar ? goodRating + this.#getDistance(batch[0]!, request) : goodRating;
			if (bestRating <= target || probes >= maximumProbes || (candidates.length === 0 && late.length >= lateLimit)) {
				break;
			}

			const allowed = batch.filter(() => this.#options.takeProbe(request.service));
			if (allowed.length === 0) {
				// Without a probe to spare, the last reports decide.
				candidates.push(...[...near, ...far].map(endpoint => this.#recall(endpoint, request)).filter(candidate => candidate !== undefined));
				break;
			}

			probes += allowed.length;
			const {answered, silent} = await this.#probeAll(allowed, request);
			candidates.push(...answered);
			late.push(...this.#listLate(silent, request));
		}

		return this.#conclude(candidates, {
			request, probes, milliseconds: clock() - startedAt, endpoints: [...near, ...far], late,
		});
	}

	/** Sorts the endpoints of the own failure domain and the others, the most promising first. */
	#rank(request: SelectionRequest): [near: DirectoryEndpoint[], far: DirectoryEndpoint[]] {
		const {clock, draw, failureDomain, isConnected} = this.#options;
		const {service, excluded} = request;
		const now = clock();
		const scores = new Map<string, number>();
		const endpoints = this.#options.listEndpoints(service).filter(({id}) => !excluded.has(id));
		for (const endpoint of endpoints) {
			const record = this.getRecord(endpoint);
			const isUseful = now - record.reportedAt < usefulReportAge;
			const expected = isUseful ? this.#rate(endpoint, request) : unknownRating + (record.inFlight / endpoint.slots) + (now < endpoint.coldUntil ? 1 : 0);
			scores.set(endpoint.id, expected + (draw() * 0.5) + (isConnected(endpoint) ? 0 : connectionCost) + (record.isAvoided(now) ? 100 : 0));
		}

		endpoints.sort((a, b) => scores.get(a.id)! - scores.get(b.id)!);
		return [endpoints.filter(endpoint => endpoint.failureDomain === failureDomain), endpoints.filter(endpoint => endpoint.failureDomain !== failureDomain)];
	}

	#getDistance({failureDomain}: DirectoryEndpoint, {responseBytes}: SelectionRequest): number {
		const {domainCost, bytesPerDuration} = this.#options;
		return failureDomain === this.#options.failureDomain ? 0 : domainCost + (responseBytes / bytesPerDuration);
	}

	/** Asks endpoints side by side; an answer that comes too late gives its connection back. */
	async #probeAll(endpoints: readonly DirectoryEndpoint[], request: SelectionRequest): Promise<{answered: Array<Candidate<C>>; silent: DirectoryEndpoint[]}> {
		const {probeMilliseconds} = this.#options;
		const answered: Array<Candidate<C>> = [];
		const silent = new Set(endpoints);
		let isOpen = true;
		const probes = endpoints.map(async endpoint => {
			const candidate = await this.#probe(endpoint, request);
			if (!isOpen) {
				candidate?.connection?.release();
				return;
			}

			silent.delete(endpoint);
			if (candidate) {
				answered.push(candidate);
			}
		});
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<void>(resolve => {
			// After a pause of the process, answers that lie ready are read first.
			timer = setTimeout(() => {
				setImmediate(resolve);
			}, probeMilliseconds);
		});
		await Promise.race([Promise.all(probes), timeout]);
		clearTimeout(timer);
		isOpen = false;
		return {answered, silent: [...silent]};
	}

	async #probe(endpoint: DirectoryEndpoint, request: SelectionRequest): Promise<Candidate<C> | undefined> {
		const {clock, sendProbe} = this.#options;
		const {verdict, report, connection} = await sendProbe(endpoint);
		const record = this.getRecord(endpoint);
		const now = clock();
		if (report) {
			record.updateReport(report, now);
		}

		if (verdict === ProbeVerdict.unreachable || verdict === ProbeVerdict.replaced) {
			record.recordFailure(now);
			connection?.release();
			return undefined;
		}

		const rating = this.#rate(endpoint, request);
		return {
			endpoint, record, connection, rating,
			isFull: isFull({report: record.report ?? this.#assumeReport(endpoint), sentSinceReport: record.sentSinceReport}),
			isHealthy: verdict === ProbeVerdict.healthy,
		};
	}

	/** Finds an endpoint that has just reported room, which no probe could tell better. */
	#findFresh(near: readonly DirectoryEndpoint[], request: SelectionRequest): Candidate<C> | undefined {
		const {clock, goodRating} = this.#options;
		const oldest = clock() - freshMilliseconds;
		const candidates = near.filter(endpoint => this.getRecord(endpoint).reportedAt >= oldest).map(endpoint => this.#recall(endpoint, request));
		const best = findBest(candidates.filter(candidate => candidate !== undefined));
		return best && best.rating <= goodRating ? best : undefined;
	}

	/**
	 * Lists endpoints that have not answered in time but are alive. Where the way to all endpoints takes longer than a probe
	 * may take, or this host is short of processor time, a request is sent to one of them rather than refused.
	 */
	#listLate(endpoints: readonly DirectoryEndpoint[], request: SelectionRequest): Array<Candidate<C>> {
		const oldest = this.#options.clock() - aliveMilliseconds;
		return endpoints.filter(endpoint => this.getRecord(endpoint).reportedAt >= oldest)
			.map(endpoint => this.#recall(endpoint, request)).filter(candidate => candidate !== undefined);
	}

	/** Judges an endpoint by what is known of it; those that have failed of late are left out. */
	#recall(endpoint: DirectoryEndpoint, request: SelectionRequest): Candidate<C> | undefined {
		const record = this.getRecord(endpoint);
		if (record.isAvoided(this.#options.clock())) {
			return undefined;
		}

		return {
			endpoint, record, connection: undefined, rating: this.#rate(endpoint, request), isFull: false, isHealthy: true,
		};
	}

	/** Rating by which endpoints are compared; failures and distance go before a wait for a better one. */
	#rate(endpoint: DirectoryEndpoint, request: SelectionRequest): number {
		const now = this.#options.clock();
		const record = this.getRecord(endpoint);
		const failures = record.computeFailureShare(now) + (record.isAvoided(now) ? 1 : 0);
		return this.#computePace(endpoint) + (failureCost * failures) + this.#getDistance(endpoint, request);
	}

	#computePace(endpoint: DirectoryEndpoint): number {
		const record = this.getRecord(endpoint);
		return computeRating({
			report: record.report ?? this.#assumeReport(endpoint), sentSinceReport: record.sentSinceReport, isCold: this.#options.clock() < endpoint.coldUntil,
		});
	}

	/** Endpoints that do not tell their load are judged by what this host has running there. */
	#assumeReport(endpoint: DirectoryEndpoint): EndpointReport {
		return {
			running: this.getRecord(endpoint).inFlight, waiting: 0, slots: endpoint.slots, slowness: 1,
		};
	}

	/** Rating that decides whether to wait; a wait mends neither failures nor a distance that all endpoints have. */
	#computeWaitRating(endpoint: DirectoryEndpoint, {request, endpoints}: ProbedEndpoints<C>): number {
		const now = this.#options.clock();
		const usable = endpoints.filter(other => !this.getRecord(other).isAvoided(now));
		const nearest = Math.min(...usable.map(other => this.#getDistance(other, request)));
		return this.#computePace(endpoint) + Math.max(0, this.#getDistance(endpoint, request) - Math.max(usualDistance, nearest));
	}

	#conclude(candidates: Array<Candidate<C>>, found: ProbedEndpoints<C>): Selection<C> | SelectionRefusal {
		const {request, probes, milliseconds, endpoints, late} = found;
		const healthy = findBest(candidates);
		const lastResort = candidates.find(candidate => !candidate.isHealthy && !candidate.isFull) ?? (candidates.length === 0 ? findBest(late) : undefined);
		const chosen = healthy ?? lastResort;
		for (const candidate of candidates) {
			if (candidate !== chosen) {
				candidate.connection?.release();
			}
		}

		if (chosen && this.#computeWaitRating(chosen.endpoint, found) <= (request.worstRating ?? Infinity)) {
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
