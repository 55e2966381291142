import type {DirectoryEndpoint} from './endpoint-directory.js';
import type {EndpointRecord, EndpointReport} from './endpoint-record.js';

/** What a probe found. */
export const ProbeVerdict = {
	/** The endpoint answered and takes work. */
	healthy: 'healthy',
	/** The endpoint answered that it takes no work. */
	unhealthy: 'unhealthy',
	/** Another endpoint answered at its address. */
	replaced: 'replaced',
	/** No answer. */
	unreachable: 'unreachable',
} as const;

/** One of the verdicts of a probe. */
export type ProbeVerdict = typeof ProbeVerdict[keyof typeof ProbeVerdict];

/** A connection that has just carried an answer of the endpoint. */
export type ProbedConnection = {
	/** Gives the connection back unused. */
	release(): void;
};

/** Answer to one probe. */
export type ProbeAnswer<C extends ProbedConnection> = {
	readonly verdict: ProbeVerdict;
	/** Load and speed, where the endpoint tells them. */
	readonly report: EndpointReport | undefined;
	/** The connection that carried the answer, kept for the request; nothing when it cannot be used again. */
	readonly connection: C | undefined;
};

/** Asks one endpoint for its health and load. */
export type SendProbe<C extends ProbedConnection> = (endpoint: DirectoryEndpoint) => Promise<ProbeAnswer<C>>;

/** What a request needs. */
export type SelectionRequest = {
	readonly service: string;
	/** Endpoints that must not be chosen. */
	readonly excluded: ReadonlySet<string>;
	/** Usual size of the response in bytes; large ones stay in the own failure domain. */
	readonly responseBytes: number;
	/** Rating above which the selection gives up, apart from the cost of a usual distance; any will do by default. */
	readonly worstRating?: number;
	/** Probes that may be sent; the option of the selector by default. */
	readonly maximumProbes?: number;
};

/** Why an endpoint was chosen. */
export type SelectionReason = {
	readonly rating: number;
	readonly report: EndpointReport | undefined;
	/** Age of the report in milliseconds. */
	readonly reportAge: number;
	/** Number of probes sent for the selection. */
	readonly probes: number;
	/** Time that the selection took, in milliseconds. */
	readonly milliseconds: number;
	readonly isLastResort: boolean;
};

/** The chosen endpoint. */
export type Selection<C extends ProbedConnection> = {
	readonly endpoint: DirectoryEndpoint;
	readonly record: EndpointRecord;
	readonly connection: C | undefined;
	readonly reason: SelectionReason;
};

/** Why no endpoint was chosen. */
export type SelectionRefusal = {
	readonly kind: 'none' | 'full' | 'slow';
	readonly probes: number;
	readonly milliseconds: number;
};
