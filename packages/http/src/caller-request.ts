import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import type {RouteMatch} from '@tanagerrail/configuration';

/** A request of a caller, received in full and matched to a route. */
export type CallerRequest = {
	readonly id: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array | undefined;
	readonly match: RouteMatch;
	/** Hash that identifies identical requests on all hosts. */
	readonly fingerprint: string;
	/** Monotonic time of arrival in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time of the deadline in milliseconds. */
	readonly deadline: number;
	readonly callerAddress: string;
	/** Time spent waiting for slots so far, in milliseconds. */
	readonly wait: {milliseconds: number};
	/** Aborted when the caller disconnects or the host aborts its requests at shutdown. */
	readonly signal: AbortSignal;
};

/**
 * Computes the fingerprint that identifies identical requests on all hosts.
 *
 * @param request - The request.
 * @returns Hash of service, method, target and body.
 */
export function hashRequest({method, target, body, match}: Pick<CallerRequest, 'method' | 'target' | 'body' | 'match'>): string {
	const hash = createHash('sha256').update(`${match.service.name}\0${method}\0${target}\0`);
	if (body) {
		hash.update(body);
	}

	return hash.digest('base64url').slice(0, 22);
}
