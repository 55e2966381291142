import {httpLink, TRPCClientError, type TRPCLink} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {Agent, fetch, type Dispatcher} from 'undici';
import {createFailure, type Failure} from '@tanagerrail/results';
import {keyHeader} from './verify-key.js';

const unauthorizedStatus = 401;

/** The other process refused the key of a call. */
class UnauthorizedError extends Error {}

/** Options of {@link createControlLink}. */
export type ControlLinkOptions = {
	/** `ip:port` of the other process. */
	readonly address: string;
	/** Path prefix of the calls. */
	readonly path: string;
	readonly key: string;
	/** Returns the certificate authorities of the other process as PEM; calls use TLS when it is given. */
	readonly getAuthority?: () => string | undefined;
};

/**
 * Creates the link of a control client.
 *
 * @param options - Address, path and key of the calls.
 * @returns A link for `createTRPCClient`.
 */
export function createControlLink<R extends AnyRouter>({address, path, key, getAuthority}: ControlLinkOptions): TRPCLink<R> {
	const getDispatcher = createDispatcherGetter(getAuthority);
	const options = {
		url: `${getAuthority ? 'https' : 'http'}://${address}${path.slice(0, -1)}`,
		headers: {[keyHeader]: key},
		async fetch(url: string, init?: object) {
			const response = await fetch(url, {...init, dispatcher: getDispatcher()});
			if (response.status === unauthorizedStatus) {
				await response.body?.cancel();
				throw new UnauthorizedError();
			}

			return response;
		},
	};
	return httpLink(options as never);
}

/** Creates a getter of the connection pool, which is replaced when the certificate authorities change. */
function createDispatcherGetter(getAuthority: ControlLinkOptions['getAuthority']): () => Dispatcher | undefined {
	let current: {readonly authority: string | undefined; readonly agent: Agent} | undefined;
	return () => {
		if (!getAuthority) {
			return undefined;
		}

		const authority = getAuthority();
		if (current?.authority !== authority || !current) {
			void current?.agent.close();
			current = {authority, agent: new Agent({connect: {ca: authority}})};
		}

		return current.agent;
	};
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
