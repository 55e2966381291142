import {createServer, type Server} from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {RelayRouter} from './relay-router.js';

/** Maximum size of the body of a request, in bytes; the longest one announces all hosts. */
const maximumRequestBytes = 4_194_304;

/**
 * Creates the server from which other hosts request the platform's state.
 *
 * @param router - Router with the procedures to serve.
 * @returns The server, not listening yet.
 */
export function createRelayServer(router: RelayRouter): Server {
	return createServer(createHTTPHandler({router, maxBodySize: maximumRequestBytes}));
}
