import {createServer, type Server, type ServerOptions} from 'node:http';
import {createServer as createTlsServer, type Server as TlsServer} from 'node:https';
import type {TlsFiles} from './tls-files.js';

/**
 * Creates an HTTP server, with TLS if files are given. When the files change, new connections use the new certificate;
 * open connections keep theirs.
 *
 * @param options - Options of Node's server.
 * @param tls - Certificate and key; throws if they cannot be used.
 * @param handshakeMilliseconds - Timeout of a TLS handshake.
 * @returns The server; it stops watching the files when it closes.
 */
export function createListenerServer(options: ServerOptions, tls?: TlsFiles, handshakeMilliseconds = 5000): Server {
	if (!tls) {
		return createServer(options);
	}

	const contents = tls.read().match(value => value, failure => {
		throw new Error(failure.id);
	});
	const server: TlsServer = createTlsServer({
		...options, cert: contents.cert, key: contents.key, minVersion: 'TLSv1.2', handshakeTimeout: handshakeMilliseconds,
	});
	tls.watch(({cert, key}) => {
		server.setSecureContext({cert, key, minVersion: 'TLSv1.2'});
	});
	server.once('close', () => {
		tls.stop();
	});
	return server;
}
