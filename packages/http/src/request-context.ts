import type {ClaimService} from '@tanagerrail/claims';
import type {Configuration, RouteMatch} from '@tanagerrail/configuration';
import type {HedgePolicy, RetryBudget, SlotSource} from '@tanagerrail/routing';
import type {Clock, Metrics} from '@tanagerrail/telemetry';
import type {EndpointConnections} from './endpoint-connections.js';

/** End of a caller's request, for service levels. */
export type RequestRecord = {
	readonly service: string;
	readonly workClass: string;
	/** Time from arrival to the end of the response, in milliseconds. */
	readonly milliseconds: number;
	readonly status: number;
	/** Number of the result code of a refusal; nothing for a response of an endpoint. */
	readonly code: number | undefined;
	/** Time spent waiting for a slot, in milliseconds. */
	readonly waitMilliseconds: number;
};

/** What the request path of a host works with. */
export type RequestContext = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly slots: SlotSource;
	readonly connections: EndpointConnections;
	readonly claims: ClaimService;
	readonly metrics: Metrics;
	/** The configuration in force; nothing before the host knows one. */
	getConfiguration(): Configuration | undefined;
	/** Waits while the host looks for a newer configuration, for a short time. */
	waitConfiguration?(): Promise<void>;
	/** Retry budget of a service. */
	getRetryBudget(service: string): RetryBudget;
	/** Hedge policy of a work class; without it, no second attempt starts while one runs. */
	getHedgePolicy?(match: RouteMatch): HedgePolicy;
	/** Records the end of a request. */
	record(record: RequestRecord): void;
};
