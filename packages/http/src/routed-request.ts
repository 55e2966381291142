import type {PrefixRoute} from '@tanagerrail/configuration';
import type {DirectoryEndpoint} from '@tanagerrail/routing';
import type {BodyReservation} from './body-budget.js';
import type {Exchange, ExchangeResponse} from './exchange.js';
import type {HeaderFields} from './forwarded-headers.js';

/** A request of a caller, received in full and matched to a route and a service. */
export type RoutedRequest = {
	/** Id of the caller's attempt. */
	readonly id: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Headers without the hop-by-hop ones. */
	readonly headers: HeaderFields;
	readonly body: Uint8Array | undefined;
	/** Memory of the body. */
	readonly reservation: BodyReservation;
	readonly route: PrefixRoute;
	readonly service: string;
	/** Revision of the route table that matched. */
	readonly revision: number;
	/** Monotonic time of arrival in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time at which the route's timeout or the caller's own one ends, whichever is earlier, in milliseconds. */
	readonly timeoutAt: number;
	/** Monotonic time until which a body that has begun is forwarded: the end of the caller's wait, in milliseconds. */
	readonly streamUntil: number;
	/** Aborted, with a value of `AbortReason` as the reason, before the response is complete. */
	readonly signal: AbortSignal;
};

/** A response of an endpoint that may be forwarded to the caller. Who forwards it aborts the exchange if the body is not received in full. */
export type RoutedResponse = {readonly response: ExchangeResponse; readonly endpoint: DirectoryEndpoint; readonly exchange: Exchange};
