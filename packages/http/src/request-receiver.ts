import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Result} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** Why a request is broken off before its response is complete. */
export const RequestAbort = {callerGone: 'caller-gone', hostEnds: 'host-ends'} as const;

/** What the listener knows about a request whose headers have arrived. */
export type Arrival = {
	/** Monotonic time of arrival in milliseconds. */
	readonly arrivedAt: number;
	/** Requests in progress on the caller's connection, this one included. */
	readonly connectionRequests: number;
	/** Aborted, with a value of {@link RequestAbort} as the reason, before the response is complete. */
	readonly signal: AbortSignal;
};

/** A request that was received in full. */
export type ReceivedRequest = {readonly id: string};

/** How requests are received, matched and served; the listener owns connections, refusals and the shutdown. */
export type RequestReceiver<R extends ReceivedRequest> = {
	/** Reads the id by which the logs name a request. */
	readId(req: IncomingMessage): string;
	/** Receives a request in full and finds its route. */
	receive(req: IncomingMessage, res: ServerResponse, arrival: Arrival): Promise<Result<R, Failure>>;
	/**
	 * Serves a request.
	 *
	 * @param request - The request.
	 * @param res - Response to the caller.
	 * @param beforeHead - To be called immediately before the head of a response is written.
	 * @returns Nothing when a response was sent, or the failure to answer with.
	 */
	serve(request: R, res: ServerResponse, beforeHead: () => void): Promise<Result<void, Failure>>;
	/** Headers of a refusal besides those of every refusal. */
	buildRefusalHeaders(failure: Failure): Record<string, string>;
	/** Counts a request that was refused before it was matched. */
	countRefusal(failure: Failure): void;
};
