import type {SoakEnding} from './soak-endpoint.js';

/** Kinds of requests that clients send; the service of a kind has its name with an s. */
export const SoakRequestKind = {read: 'read', payment: 'payment', download: 'download'} as const;

/** One of the kinds. */
export type SoakRequestKind = typeof SoakRequestKind[keyof typeof SoakRequestKind];

/** A request as its client saw it; times are monotonic, in milliseconds. */
export type SoakRequest = {
	readonly id: string;
	readonly kind: SoakRequestKind;
	readonly service: string;
	readonly target: string;
	/** Prefix of the route. */
	readonly prefix: string;
	readonly host: string;
	/** Start of the host's process to which it was sent. */
	readonly incarnation: number;
	readonly sentAt: number;
	/** Time for which the client waits, in milliseconds. */
	readonly waitMilliseconds: number;
	/** Whether the client gives up early. */
	hasLeft?: boolean;
	endedAt?: number;
	/** Status of the response; nothing when the connection ended without a whole one. */
	status?: number;
	/** Whether the body is the one that the endpoint sends for this request. */
	isWhole?: boolean;
	error?: string;
};

/** A request that reached an endpoint. */
export type SoakArrival = {
	readonly id: string;
	readonly endpoint: string;
	/** Service to which the endpoint belonged. */
	readonly service: string;
	readonly at: number;
	/** Whether the endpoint began to run it; otherwise it said that it did not. */
	readonly hasRun: boolean;
	/** Time for which the endpoint may work, in milliseconds, as the host told it. */
	readonly deadlineMilliseconds: number;
	readonly ending: SoakEnding;
};

/** An endpoint that has been announced as leaving. */
export type SoakDeparture = {readonly endpoint: string; readonly at: number};

/** A route that was added or dropped. */
export type SoakRouteChange = {readonly prefix: string; readonly isAdded: boolean; readonly at: number};

/** What clients, endpoints and the operator have seen in a run. */
export class SoakLedger {
	readonly requests = new Map<string, SoakRequest>();
	readonly arrivals: SoakArrival[] = [];
	readonly departures: SoakDeparture[] = [];
	readonly routeChanges: SoakRouteChange[] = [];
	readonly #runs = new Map<string, SoakArrival[]>();

	/**
	 * Notes that a request has reached an endpoint.
	 *
	 * @param arrival - The request at the endpoint.
	 */
	addArrival(arrival: SoakArrival): void {
		this.arrivals.push(arrival);
		if (arrival.hasRun) {
			this.#runs.set(arrival.id, [...this.listRuns(arrival.id), arrival]);
		}
	}

	/**
	 * Lists the arrivals of a request at endpoints that ran it.
	 *
	 * @param id - Id of the request.
	 * @returns The arrivals in their order.
	 */
	listRuns(id: string): readonly SoakArrival[] {
		return this.#runs.get(id) ?? [];
	}
}
