import {Counter, Histogram, Registry} from 'prom-client';

/** Upper bounds of the latency histograms, in milliseconds. */
const latencyBuckets = [5, 10, 25, 50, 100, 200, 400, 600, 800, 1200, 2000, 4000, 8000];

/** Counters and latency histograms of a host in the Prometheus text format. */
export class PrometheusMetrics {
	readonly #registry = new Registry();
	readonly #requests = new Counter({
		name: 'tanagerrail_requests_total',
		help: 'Finished requests of callers, by route and HTTP status',
		labelNames: ['route', 'status'],
		registers: [this.#registry],
	});

	readonly #requestMilliseconds = new Histogram({
		name: 'tanagerrail_request_duration_milliseconds',
		help: 'Time from the arrival of a request to the end of its response',
		labelNames: ['route'],
		buckets: latencyBuckets,
		registers: [this.#registry],
	});

	readonly #attempts = new Counter({
		name: 'tanagerrail_attempts_total',
		help: 'Attempts sent to endpoints, by service and how they ended',
		labelNames: ['service', 'end'],
		registers: [this.#registry],
	});

	readonly #attemptMilliseconds = new Histogram({
		name: 'tanagerrail_attempt_duration_milliseconds',
		help: 'Time from sending an attempt to an endpoint until it ends',
		labelNames: ['service'],
		buckets: latencyBuckets,
		registers: [this.#registry],
	});

	readonly #unidentified = new Counter({
		name: 'tanagerrail_unidentified_responses_total',
		help: 'Responses without the id of their request, by service, whose request they belong to (other, none) and how the attempt ended',
		labelNames: ['service', 'identity', 'end'],
		registers: [this.#registry],
	});

	readonly #selections = new Counter({
		name: 'tanagerrail_selections_total',
		help: 'Endpoint selections, by service and result',
		labelNames: ['service', 'result'],
		registers: [this.#registry],
	});

	readonly #probes = new Counter({
		name: 'tanagerrail_probes_total',
		help: 'Load probes sent to endpoints, by service',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #notices = new Counter({
		name: 'tanagerrail_endpoint_notices_total',
		help: 'Announcements of endpoints that they are leaving, and requests of endpoints for a pause, by service',
		labelNames: ['service', 'kind'],
		registers: [this.#registry],
	});

	/** Media type of the rendered metrics. */
	get contentType(): string {
		return this.#registry.contentType;
	}

	countRequest(route: string, status: number, milliseconds: number): void {
		this.#requests.inc({route, status: String(status)});
		this.#requestMilliseconds.observe({route}, milliseconds);
	}

	countAttempt(service: string, end: string, milliseconds: number): void {
		this.#attempts.inc({service, end});
		this.#attemptMilliseconds.observe({service}, milliseconds);
	}

	countUnidentified(service: string, identity: string, end: string): void {
		this.#unidentified.inc({service, identity, end});
	}

	countSelection(service: string, result: string, probes: number): void {
		this.#selections.inc({service, result});
		this.#probes.inc({service}, probes);
	}

	countNotice(service: string, kind: string): void {
		this.#notices.inc({service, kind});
	}

	/**
	 * Renders all metrics.
	 *
	 * @returns The metrics in the Prometheus text format.
	 */
	async render(): Promise<string> {
		return this.#registry.metrics();
	}
}
