import {httpLink, TRPCClientError, type TRPCLink} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {createFailure, type Failure} from '@tanagerrail/results';
import {keyHeader} from './verify-key.js';

const unauthorizedStatus = 401;

/** Error of a call that was refused because of its key. */
class UnauthorizedError extends Error {}

/** Options of {@link createControlLink}. */
export type ControlLinkOptions = {
	/** `ip:port` of the other process. */
	readonly address: string;
	/** Path prefix of the calls. */
	readonly path: string;
	readonly key: string;
};

/**
 * Creates the link of a control client.
 *
 * @param options - Where to send calls and with which key.
 * @returns A link for `createTRPCClient`.
 */
export function createControlLink<R extends AnyRouter>({address, path, key}: ControlLinkOptions): TRPCLink<R> {
	const options = {
		url: `http://${address}${path.slice(0, -1)}`,
		headers: {[keyHeader]: key},
		async fetch(url: string, init?: RequestInit) {
			const response = await fetch(url, init);
			if (response.status === unauthorizedStatus) {
				await response.body?.cancel();
				throw new UnauthorizedError();
			}

			return response;
		},
	};
	return httpLink(options as never);
}

/**
 * Describes why a control call failed.
 *
 * @param error - Error of the client.
 * @param host - Id or address of the other process.
 * @returns `peer-unauthorized` or `peer-unreachable`.
 */
export function describeControlError(error: unknown, host: string): Failure {
	const cause = error instanceof TRPCClientError ? error.cause : undefined;
	if (cause instanceof UnauthorizedError) {
		return createFailure('peer-unauthorized');
	}

	const reason = cause?.cause instanceof Error && 'code' in cause.cause ? String(cause.cause.code) : (cause ?? (error as Error)).message;
	return createFailure('peer-unreachable', {host, reason});
}
