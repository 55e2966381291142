import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {
	buildProblemDetails, createFailure, getOutcome, problemMediaType, type Failure,
} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import {checkRequestGrammar} from './check-grammar.js';
import {closeAfterDelivery, lingerMilliseconds} from './close-after-delivery.js';
import {createListenerServer} from './create-listener-server.js';
import {defaultRequestLimits, type RequestLimits} from './request-limits.js';
import {AbortReason, type ReceivedRequest, type RequestReceiver} from './request-receiver.js';
import type {TlsFiles} from './tls-files.js';

const logger = createLogger('http');

/** Options of {@link CallerListener}. */
export type CallerListenerOptions<R extends ReceivedRequest> = {
	readonly receiver: RequestReceiver<R>;
	readonly clock: Clock;
	readonly limits: RequestLimits;
	/** Certificate and key; without them callers are served over plain TCP. */
	readonly tls?: TlsFiles;
};

/** Limits that may change while the listener runs. */
export type ChangeableLimits = Pick<RequestLimits, 'headerBytes' | 'headersMilliseconds'> & {
	/** Time for which a connection may stay idle between requests, in milliseconds. */
	readonly idleMilliseconds: number;
};

/** Time after accepting a connection for which a shutdown waits for its first request, in milliseconds. */
const firstRequestMilliseconds = 250;

/** State of a caller's connection. */
type ConnectionState = {
	/** Monotonic time at which the connection was accepted, in milliseconds. */
	readonly openedAt: number;
	/** Controllers of the requests in progress. */
	readonly requests: Set<AbortController>;
	/** Whether a request has arrived on the connection. */
	hasReceivedRequest: boolean;
	/** Number of requests that may be running at an endpoint. */
	dispatchedRequests: number;
	/** Whether the connection was refused, so that no further request may run. */
	isRefused: boolean;
	/** Response to the latest request. */
	lastResponse: ServerResponse | undefined;
	/** Monotonic time at which a response was last written to the connection in full, in milliseconds. */
	respondedAt: number;
	/** Whether the connection closes once its pending responses are sent; requests that arrive later are ignored. */
	isClosing: boolean;
};

/** HTTP server for the requests of callers. */
export class CallerListener<R extends ReceivedRequest> {
	readonly #options: CallerListenerOptions<R>;
	readonly #server: Server;
	/** State of each open connection. */
	readonly #connections = new Map<Socket, ConnectionState>();
	#inProgress = 0;
	#isDraining = false;
	#isStopped = false;

	constructor(options: Partial<CallerListenerOptions<R>> & Pick<CallerListenerOptions<R>, 'receiver' | 'clock'>) {
		this.#options = {limits: defaultRequestLimits, ...options};
		const {limits, tls} = this.#options;
		this.#server = createListenerServer({
			maxHeaderSize: limits.headerBytes,
			headersTimeout: limits.headersMilliseconds,
			requestTimeout: limits.requestMilliseconds,
			connectionsCheckingInterval: Math.min(1000, limits.headersMilliseconds),
			insecureHTTPParser: false,
			requireHostHeader: true,
		}, tls, limits.headersMilliseconds);
		this.#server.maxConnections = limits.connections;
		// Node.js silently drops headers beyond its maximum count, so only their total size is limited.
		this.#server.maxHeadersCount = 0;
		this.#server.on(tls ? 'secureConnection' : 'connection', (socket: Socket) => {
			this.#getState(socket);
		});
		this.#server.on('request', (req, res) => {
			void this.#handle(req, res);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#refuseConnection(error, socket);
		});
	}

	/** Requests whose responses have not been written to their connections in full. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Recently accepted connections whose first request may still arrive. */
	get connectionsAwaitingRequest(): number {
		return [...this.#connections.values()].filter(state => this.#isAwaitingFirstRequest(state)).length;
	}

	/** Open connections whose last response may not have reached the caller yet; the caller confirms that it has by closing. */
	get connectionsAwaitingClose(): number {
		const now = this.#options.clock();
		return [...this.#connections.values()].filter(({respondedAt}) => now - respondedAt < lingerMilliseconds).length;
	}

	/**
	 * Starts to listen.
	 *
	 * @param address - IP address and port; port 0 picks a free one.
	 * @returns The port.
	 */
	async start({host, port}: {host: string; port: number}): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		const bound = this.#server.address();
		return typeof bound === 'object' && bound ? bound.port : port;
	}

	/**
	 * Replaces limits; connections that are open keep their limit on headers.
	 *
	 * @param limits - The new limits.
	 */
	updateLimits({headerBytes, headersMilliseconds, idleMilliseconds}: ChangeableLimits): void {
		Object.assign(this.#server, {maxHeaderSize: headerBytes});
		this.#server.headersTimeout = headersMilliseconds;
		this.#server.keepAliveTimeout = idleMilliseconds;
	}

	/** Announces with `connection: close` that each connection closes after its last pending response. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Stops accepting connections; requests in progress continue. */
	stop(): void {
		this.#isDraining = true;
		this.#isStopped = true;
		// The HTTP server's own close() destroys connections whose response has ended but is not flushed, and with them
		// all responses queued behind it. Only the listening socket is closed here.
		NetServer.prototype.close.call(this.#server);
		for (const [socket, state] of this.#connections) {
			this.#closeIfIdle(socket, state);
		}
	}

	/** Aborts requests that still run, so that finished responses queued behind them on their connections are sent. */
	abortRequests(): void {
		for (const controller of [...this.#connections.values()].flatMap(({requests}) => [...requests])) {
			controller.abort(AbortReason.hostShutdown);
		}
	}

	/** Closes all connections at once. */
	abort(): void {
		this.#server.closeAllConnections();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, receiver} = this.#options;
		const arrivedAt = clock();
		const id = receiver.readId(req);
		const state = this.#getState(req.socket);
		state.hasReceivedRequest = true;
		if (state.isClosing || this.#closeAfterLastResponse(state)) {
			req.resume();
			return;
		}

		state.lastResponse = res;

		const controller = this.#trackRequest(state, res);
		const beforeHead = () => {
			// The connection is not closed while later responses are pending on it, because they would be lost.
			if (!req.complete || (this.#isDraining && state.requests.size === 1)) {
				state.isClosing = true;
				res.setHeader('connection', 'close');
			}
		};

		const checked = checkRequestGrammar(req);
		if (checked.isErr()) {
			// What follows on the connection may not be a request, so nothing more is read from it.
			state.isClosing = true;
			res.setHeader('connection', 'close');
			receiver.countRefusal(checked.error);
			this.#refuse(res, checked.error, {id, beforeHead, level: LogLevel.info});
			return;
		}

		try {
			const received = await receiver.receive(req, res, {arrivedAt, connectionRequests: state.requests.size, signal: controller.signal});
			if (received.isErr()) {
				receiver.countRefusal(received.error);
				this.#refuse(res, received.error, {id, beforeHead, level: LogLevel.info});
				return;
			}

			try {
				await this.#serve(received.value, res, {state, beforeHead});
			} finally {
				receiver.release?.(received.value);
			}
		} catch (error) {
			logger.log(LogLevel.error, 'internal-error', {request: id, reason: String(error)});
			this.#refuse(res, createFailure('internal-error', {reason: 'see the log'}), {id, beforeHead});
		}
	}

	async #serve(request: R, res: ServerResponse, {state, beforeHead}: {readonly state: ConnectionState; readonly beforeHead: () => void}): Promise<void> {
		// A refusal with the outcome `not-run` was already sent on the connection, so the request must not run.
		if (state.isRefused) {
			res.destroy();
			return;
		}

		state.dispatchedRequests += 1;
		res.once('close', () => {
			state.dispatchedRequests -= 1;
		});
		const served = await this.#options.receiver.serve(request, res, beforeHead);
		if (served.isErr()) {
			this.#refuse(res, served.error, {id: request.id, beforeHead});
		}
	}

	/** Counts a request as in progress until its response, after those of earlier requests, is written to the connection. */
	#trackRequest(state: ConnectionState, res: ServerResponse): AbortController {
		const controller = new AbortController();
		this.#inProgress += 1;
		state.requests.add(controller);
		res.once('close', () => {
			this.#endRequest(state, controller);
			state.respondedAt = this.#options.clock();
			if (!res.writableFinished) {
				controller.abort(AbortReason.callerDisconnected);
			}

			if (this.#isStopped) {
				this.#closeIfIdle(res.req.socket, state);
			}
		});
		return controller;
	}

	#endRequest(state: ConnectionState, controller: AbortController): void {
		if (!state.requests.delete(controller)) {
			return;
		}

		this.#inProgress -= 1;
	}

	/** Responds with a refusal. Refusals of requests that were served are logged with their end, so their own line is for debugging. */
	#refuse(res: ServerResponse, failure: Failure, {id, beforeHead, level = LogLevel.debug}: {id: string; beforeHead: () => void; level?: LogLevel}): void {
		logger.logFailure(level, 'request-refused', failure, {request: id});
		if (res.headersSent || res.destroyed) {
			res.destroy();
			return;
		}

		beforeHead();
		const details = buildProblemDetails(failure);
		const body = JSON.stringify(details);
		res.writeHead(details.status, {
			'content-type': problemMediaType, 'content-length': Buffer.byteLength(body), 'tanagerrail-outcome': getOutcome(failure),
			...this.#options.receiver.buildRefusalHeaders(failure),
		});
		res.end(body);
	}

	#getState(socket: Socket): ConnectionState {
		const existing = this.#connections.get(socket);
		if (existing) {
			return existing;
		}

		const state: ConnectionState = {
			openedAt: this.#options.clock(),
			requests: new Set(),
			hasReceivedRequest: false,
			dispatchedRequests: 0,
			lastResponse: undefined,
			respondedAt: -Infinity,
			isRefused: false,
			isClosing: false,
		};
		this.#connections.set(socket, state);
		// The HTTP server calls this after the last response of a connection.
		socket.destroySoon = () => {
			closeAfterDelivery(socket);
		};

		// Node.js emits no close event on responses that are queued behind an earlier one.
		socket.once('close', () => {
			this.#connections.delete(socket);
			for (const controller of state.requests) {
				this.#endRequest(state, controller);
				controller.abort(AbortReason.callerDisconnected);
			}
		});
		return state;
	}

	/**
	 * Refuses input that is not valid HTTP. While an earlier request of the connection is running, the connection is closed
	 * without a response, because the caller would take the refusal for the response to that request.
	 */
	#refuseConnection({code = ''}: NodeJS.ErrnoException, socket: Socket): void {
		const state = this.#getState(socket);
		const isClosed = state.isRefused || socket.writableEnded;
		state.isRefused = true;
		const isUnanswered = code === 'ECONNRESET' || !socket.writable || state.dispatchedRequests > 0 || state.requests.size > 1;
		// What arrives after the close is discarded, whether it is valid or not.
		if (isClosed && code !== 'ECONNRESET') {
			return;
		}

		// Callers may reset idle connections at any time.
		if (code !== 'ECONNRESET' || state.requests.size > 0) {
			logger.log(LogLevel.info, 'connection-refused', {
				code, requests: state.requests.size, dispatched: state.dispatchedRequests, isAnswered: !isUnanswered,
			});
		}

		if (isUnanswered) {
			socket.destroy();
			return;
		}

		const {headerBytes, requestMilliseconds} = this.#options.limits;
		const failures: Readonly<Record<string, Failure>> = {
			HPE_HEADER_OVERFLOW: createFailure('headers-too-large', {limit: headerBytes}),
			ERR_HTTP_REQUEST_TIMEOUT: createFailure('request-timeout', {limit: requestMilliseconds}),
		};
		const failure = failures[code] ?? createFailure('request-malformed', {reason: 'it is not valid HTTP/1.1'});
		this.#options.receiver.countRefusal(failure);
		const details = buildProblemDetails(failure);
		const body = JSON.stringify(details);
		socket.write(`HTTP/1.1 ${details.status} Refused\r\ncontent-type: ${problemMediaType}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n`
			+ `tanagerrail-outcome: ${details.outcome}\r\nconnection: close\r\n\r\n${body}`);

		closeAfterDelivery(socket);
	}

	/** Closes a connection on which no response is pending, after flushing what is still being sent. */
	#closeIfIdle(socket: Socket, state: ConnectionState): void {
		if (state.requests.size === 0 && !this.#isAwaitingFirstRequest(state)) {
			// A request that arrives after the FIN was sent is not served, so its caller may safely send it again.
			state.isClosing = true;
			closeAfterDelivery(socket);
		}
	}

	/** Closes a connection of a stopped listener after the response that is pending on it; later requests are ignored. */
	#closeAfterLastResponse(state: ConnectionState): boolean {
		if (!this.#isStopped || state.requests.size === 0) {
			return false;
		}

		if (!state.lastResponse!.headersSent) {
			state.lastResponse!.setHeader('connection', 'close');
		}

		state.isClosing = true;
		return true;
	}

	#isAwaitingFirstRequest({hasReceivedRequest, openedAt}: ConnectionState): boolean {
		return !hasReceivedRequest && this.#options.clock() - openedAt < firstRequestMilliseconds;
	}
}
