import type {PrefixRoute} from '@tanagerrail/configuration';
import type {DirectoryEndpoint} from '@tanagerrail/routing';
import type {ExchangeResponse} from './exchange.js';
import type {HeaderFields} from './forwarded-headers.js';

/** A request of a caller, received in full and matched to a route and a service. */
export type RoutedRequest = {
	/** Id of the caller's attempt. */
	readonly id: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Headers without those of one connection. */
	readonly headers: HeaderFields;
	readonly body: Uint8Array | undefined;
	readonly route: PrefixRoute;
	readonly service: string;
	/** Revision of the route table that matched. */
	readonly revision: number;
	/** Monotonic time of arrival, of the end of the route's timeout and of the caller's patience, in milliseconds. */
	readonly arrivedAt: number;
	readonly timeoutAt: number;
	/** Aborted, with a value of `RequestAbort` as the reason, before the response is complete. */
	readonly signal: AbortSignal;
};

/** A response of an endpoint that may be passed on. */
export type RoutedResponse = {readonly response: ExchangeResponse; readonly endpoint: DirectoryEndpoint; readonly abort: () => void};
