import type {EndpointNotice} from './endpoint-availability.js';
import type {DirectoryEndpoint} from './endpoint-directory.js';
import type {EndpointRecord, EndpointReport} from './endpoint-record.js';

/** Result of a probe. */
export const ProbeStatus = {
	/** The endpoint responded and accepts requests. */
	healthy: 'healthy',
	/** The endpoint responded that it accepts no requests. */
	unhealthy: 'unhealthy',
	/** Another endpoint responded at its address. */
	replaced: 'replaced',
	/** No response. */
	unreachable: 'unreachable',
} as const;

/** One of the results of a probe. */
export type ProbeStatus = typeof ProbeStatus[keyof typeof ProbeStatus];

/** A connection over which a probe was sent; it can carry the request. */
export type ProbedConnection = {
	/** Releases the connection without sending a request. */
	release(): void;
};

/** Response to one probe. */
export type ProbeResponse<C extends ProbedConnection> = {
	readonly status: ProbeStatus;
	/** Load and speed, if the endpoint reports them. */
	readonly report: EndpointReport | undefined;
	/** What the endpoint asked for with its response; nothing if it did not respond. */
	readonly notice?: EndpointNotice;
	/** The connection of the probe, reserved for the request; nothing if it cannot be reused. */
	readonly connection: C | undefined;
};

/** Sends a probe for the health and load of one endpoint. */
export type SendProbe<C extends ProbedConnection> = (endpoint: DirectoryEndpoint) => Promise<ProbeResponse<C>>;

/** Highest (worst) ratings at which an endpoint is selected; failures and a tolerated remote cost are not counted. */
export type RatingLimits = {
	/** For an endpoint with a free slot. */
	readonly withSlot: number;
	/** For an endpoint without a free slot, in whose queue the request would wait; 0 for never. */
	readonly withoutSlot: number;
};

/** Requirements of a request for the selection of an endpoint. */
export type SelectionRequest = {
	readonly service: string;
	/** Addresses (`ip:port`) of endpoints that must not be selected. */
	readonly excludedAddresses: ReadonlySet<string>;
	/** Usual size of the response in bytes; large responses raise the cost of remote endpoints. */
	readonly responseBytes: number;
	/** Returns the limits that apply when the endpoint is chosen, because probes may take a large part of the wait. No limits by default. */
	readonly getRatingLimits?: () => RatingLimits;
	/**
	 * Whether the request has waited for an endpoint; false by default. It then takes any endpoint that has just reported spare
	 * capacity, and few probes are sent for it, because it will look again soon.
	 */
	readonly hasWaited?: boolean;
};

/** Data on which a selection was based. */
export type SelectionReason = {
	readonly rating: number;
	readonly report: EndpointReport | undefined;
	/** Age of the report in milliseconds. */
	readonly reportAge: number;
	/** Number of probes sent for the selection. */
	readonly probes: number;
	/** Time that the selection took, in milliseconds. */
	readonly milliseconds: number;
	/** Whether no healthy endpoint with free capacity had responded. */
	readonly isLastResort: boolean;
};

/** The selected endpoint. The request counts as sent in `record`, so `record.endRequest()` is called when it has ended or is not sent. */
export type Selection<C extends ProbedConnection> = {
	readonly endpoint: DirectoryEndpoint;
	readonly record: EndpointRecord;
	/** The connection of its probe; nothing if it was not probed or the connection cannot be reused. */
	readonly connection: C | undefined;
	readonly reason: SelectionReason;
};

/** Reason why no endpoint was selected. */
export type SelectionRefusal = {
	/**
	 * `none`: no endpoint may be selected. `full`: none with capacity responded. `slow`: the best rating is above the limit. `paused`: all
	 * endpoints have asked this host for a pause.
	 */
	readonly kind: 'none' | 'full' | 'slow' | 'paused';
	/** Time until the first pause ends, in milliseconds; only with `paused`. */
	readonly pauseMilliseconds?: number;
	readonly probes: number;
	readonly milliseconds: number;
};
