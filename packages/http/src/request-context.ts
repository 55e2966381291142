import type {ClaimService} from '@tanagerrail/claims';
import type {Configuration, RouteMatch} from '@tanagerrail/configuration';
import type {HedgePolicy, RetryBudget, SlotSource} from '@tanagerrail/routing';
import type {Clock, Metrics} from '@tanagerrail/telemetry';
import type {EndpointConnections} from './endpoint-connections.js';

/** Result of a caller's request, for service-level measurements. */
export type RequestRecord = {
	readonly service: string;
	readonly workClass: string;
	/** Time from arrival to the end of the response, in milliseconds. */
	readonly milliseconds: number;
	readonly status: number;
	/** Number of the result code of a refusal; undefined for a response of an endpoint. */
	readonly code: number | undefined;
	/** Time spent waiting for a slot, in milliseconds. */
	readonly waitMilliseconds: number;
};

/** Dependencies of request handling on a host. */
export type RequestContext = {
	readonly hostId: string;
	readonly clock: Clock;
	readonly slots: SlotSource;
	readonly connections: EndpointConnections;
	readonly claims: ClaimService;
	readonly metrics: Metrics;
	/** The current configuration; undefined before the host has one. */
	getConfiguration(): Configuration | undefined;
	/** Waits a short time for the host to look for a newer configuration. */
	waitConfiguration?(): Promise<void>;
	/** Retry budget of a service. */
	getRetryBudget(service: string): RetryBudget;
	/** Hedge policy of a work class; if it is missing, no second attempt starts while one is running. */
	getHedgePolicy?(match: RouteMatch): HedgePolicy;
	/** Records the result of a request. */
	record(record: RequestRecord): void;
};
