import {createServer, type Server} from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {RelayRouter} from './relay-router.js';

/**
 * Creates the server on which a host tells other hosts of the platform's state.
 *
 * @param router - What it serves.
 * @returns The server, not listening yet.
 */
export function createRelayServer(router: RelayRouter): Server {
	return createServer(createHTTPHandler({router}));
}
