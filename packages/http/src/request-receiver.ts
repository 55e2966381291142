import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Result} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** Why a request is aborted before its response is complete. */
export const AbortReason = {callerDisconnected: 'caller-gone', hostShutdown: 'host-ends'} as const;

/** Context of a request whose headers have arrived. */
export type Arrival = {
	/** Monotonic time of arrival in milliseconds. */
	readonly arrivedAt: number;
	/** Requests in progress on the caller's connection, this one included. */
	readonly connectionRequests: number;
	/** Aborted, with a value of {@link AbortReason} as the reason, before the response is complete. */
	readonly signal: AbortSignal;
};

/** A request that was received in full. */
export type ReceivedRequest = {readonly id: string};

/** Receives, routes and serves requests; the listener handles connections, sends refusals and shuts down. */
export type RequestReceiver<R extends ReceivedRequest> = {
	/** Reads the id of a request for the log. */
	readId(req: IncomingMessage): string;
	/** Receives a request in full and finds its route. */
	receive(req: IncomingMessage, res: ServerResponse, arrival: Arrival): Promise<Result<R, Failure>>;
	/**
	 * Serves a request.
	 *
	 * @param request - The request.
	 * @param res - Response to the caller.
	 * @param beforeHead - Must be called immediately before the head of the response is written.
	 * @returns Nothing if a response was sent, or the failure to respond with.
	 */
	serve(request: R, res: ServerResponse, beforeHead: () => void): Promise<Result<void, Failure>>;
	/** Releases what a received request holds, after it has been served or refused. */
	release?(request: R): void;
	/** Builds additional headers of a refusal. */
	buildRefusalHeaders(failure: Failure): Record<string, string>;
	/** Counts a request that was refused before it was matched to a route. */
	countRefusal(failure: Failure): void;
};
