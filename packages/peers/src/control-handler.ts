import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AnyRouter} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {buildProblemDetails, createFailure, problemMediaType} from '@tanagerrail/results';
import {keyHeader, verifyKey} from './verify-key.js';

/** Path of the control calls on the peer address. */
export const peerControlPath = '/-/control/';

/** Path of the control calls on the admin address. */
export const operatorControlPath = '/-/operators/';

/** Options of {@link createControlHandler}. */
export type ControlHandlerOptions = {
	readonly router: AnyRouter;
	/** Path prefix of the calls. */
	readonly path: string;
	/** Valid keys; two during a rotation. */
	readonly keys: readonly string[];
	/** Largest request body in bytes. */
	readonly maximumBytes: number;
};

/** Defaults of {@link ControlHandlerOptions}; the largest expected answers file stays below the limit. */
export const defaultControlHandlerOptions = {maximumBytes: 4 * 1024 * 1024};

/** Serves a request to the path of the control calls; returns false, without a response, for any other path. */
export type ControlHandler = (req: IncomingMessage, res: ServerResponse) => boolean;

/**
 * Creates the handler of control calls for an HTTP listener. A request without a valid key gets status 401.
 *
 * @param options - Router, path and keys.
 * @returns The handler.
 */
export function createControlHandler(options: Partial<ControlHandlerOptions> & Pick<ControlHandlerOptions, 'router' | 'path' | 'keys'>): ControlHandler {
	const {router, path, keys, maximumBytes} = {...defaultControlHandlerOptions, ...options};
	const handle = createHTTPHandler({router, basePath: path, maxBodySize: maximumBytes});
	return (req, res) => {
		if (!req.url?.startsWith(path)) {
			return false;
		}

		if (verifyKey(req.headers[keyHeader], keys)) {
			handle(req, res);
		} else {
			const problem = buildProblemDetails(createFailure('peer-unauthorized'));
			res.writeHead(problem.status, {'content-type': problemMediaType, connection: 'close'}).end(JSON.stringify(problem));
		}

		return true;
	};
}
