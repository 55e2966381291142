import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {
	buildProblemDetails, createFailure, getOutcome, problemMediaType, type Failure,
} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import {createListenerServer} from './create-listener-server.js';
import {defaultRequestLimits, type RequestLimits} from './request-limits.js';
import {RequestAbort, type ReceivedRequest, type RequestReceiver} from './request-receiver.js';
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

/** Time after the opening of a connection in which its first request is waited for during the shutdown, in milliseconds. */
const firstRequestMilliseconds = 250;

/** Requests on one connection. */
type ConnectionUse = {
	/** Monotonic time at which the connection was accepted, in milliseconds. */
	readonly openedAt: number;
	readonly requests: Set<AbortController>;
	/** Whether a request has arrived on the connection. */
	hasCarried: boolean;
	/** Those that may run at an endpoint. */
	dispatched: number;
	/** Whether the connection was refused, so that no further request may run. */
	isRefused: boolean;
	/** Response to the latest request. */
	last: ServerResponse | undefined;
	/** Whether its last response has been announced or its end has been sent; what arrives after that counts as not read. */
	isClosing: boolean;
};

/** Receives the requests of callers. */
export class CallerListener<R extends ReceivedRequest> {
	readonly #options: CallerListenerOptions<R>;
	readonly #server: Server;
	/** Open connections. */
	readonly #uses = new Map<Socket, ConnectionUse>();
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
		// Node.js drops the headers above its limit without a notice; their size is limited instead.
		this.#server.maxHeadersCount = 0;
		this.#server.on(tls ? 'secureConnection' : 'connection', (socket: Socket) => {
			this.#getUse(socket);
		});
		this.#server.on('request', (req, res) => {
			void this.#handle(req, res);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#refuseConnection(error, socket);
		});
	}

	/** Requests whose responses have not been handed to their connections in full. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Connections that were accepted just now and whose first request may be on its way. */
	get expected(): number {
		return [...this.#uses.values()].filter(use => this.#isExpecting(use)).length;
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

	/** Asks callers to close their connections after their next response. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Stops accepting connections; requests in progress go on. */
	stop(): void {
		this.#isDraining = true;
		this.#isStopped = true;
		// The HTTP server's own close breaks connections whose response has ended but is not flushed, with all that
		// waits behind it; only the listening socket is closed here.
		NetServer.prototype.close.call(this.#server);
		for (const [socket, use] of this.#uses) {
			this.#closeIfIdle(socket, use);
		}
	}

	/** Gives up on requests that still run, so that ready responses behind them on their connections go out. */
	expireRequests(): void {
		for (const controller of [...this.#uses.values()].flatMap(({requests}) => [...requests])) {
			controller.abort(RequestAbort.hostEnds);
		}
	}

	/** Breaks all connections. */
	abort(): void {
		this.#server.closeAllConnections();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, receiver} = this.#options;
		const arrivedAt = clock();
		const id = receiver.readId(req);
		const use = this.#getUse(req.socket);
		use.hasCarried = true;
		if (use.isClosing || this.#closeAfterLast(use)) {
			return;
		}

		use.last = res;

		const controller = this.#trackRequest(use, res);
		const beforeHead = () => {
			// Responses that are due after this one would be lost with the connection.
			if (this.#isDraining && use.requests.size === 1) {
				use.isClosing = true;
				res.setHeader('connection', 'close');
			}
		};

		try {
			const received = await receiver.receive(req, res, {arrivedAt, connectionRequests: use.requests.size, signal: controller.signal});
			if (received.isErr()) {
				receiver.countRefusal(received.error);
				this.#refuse(res, received.error, {id, beforeHead});
				return;
			}

			// The connection was answered with a refusal that says that nothing ran.
			if (use.isRefused) {
				res.destroy();
				return;
			}

			use.dispatched += 1;
			res.once('close', () => {
				use.dispatched -= 1;
			});
			const served = await receiver.serve(received.value, res, beforeHead);
			if (served.isErr()) {
				this.#refuse(res, served.error, {id: received.value.id, beforeHead});
			}
		} catch (error) {
			logger.log(LogLevel.error, 'internal-error', {request: id, reason: String(error)});
			this.#refuse(res, createFailure('internal-error', {reason: 'see the log'}), {id, beforeHead});
		}
	}

	/** Counts a request until its response has been handed to the connection, behind those of earlier requests. */
	#trackRequest(use: ConnectionUse, res: ServerResponse): AbortController {
		const controller = new AbortController();
		this.#inProgress += 1;
		use.requests.add(controller);
		res.once('close', () => {
			this.#endRequest(use, controller);
			if (!res.writableFinished) {
				controller.abort(RequestAbort.callerGone);
			}

			if (this.#isStopped) {
				this.#closeIfIdle(res.req.socket, use);
			}
		});
		return controller;
	}

	#endRequest(use: ConnectionUse, controller: AbortController): void {
		if (!use.requests.delete(controller)) {
			return;
		}

		this.#inProgress -= 1;
	}

	#refuse(res: ServerResponse, failure: Failure, {id, beforeHead}: {id: string; beforeHead: () => void}): void {
		logger.logFailure(LogLevel.debug, 'request-refused', failure, {request: id});
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
			...(res.req.complete ? {} : {connection: 'close'}),
		});
		res.end(body);
	}

	#getUse(socket: Socket): ConnectionUse {
		const known = this.#uses.get(socket);
		if (known) {
			return known;
		}

		const use: ConnectionUse = {
			openedAt: this.#options.clock(), requests: new Set(), hasCarried: false, dispatched: 0, last: undefined, isRefused: false, isClosing: false,
		};
		this.#uses.set(socket, use);
		// Responses that wait behind an earlier one are not told by Node.js that their connection is closed.
		socket.once('close', () => {
			this.#uses.delete(socket);
			for (const controller of use.requests) {
				this.#endRequest(use, controller);
				controller.abort(RequestAbort.callerGone);
			}
		});
		return use;
	}

	/** Answers bytes that are not HTTP. While a former request of the connection runs, the refusal would pass for its response. */
	#refuseConnection({code = ''}: NodeJS.ErrnoException, socket: Socket): void {
		const use = this.#getUse(socket);
		use.isRefused = true;
		if (code === 'ECONNRESET' || !socket.writable || use.dispatched > 0 || use.requests.size > 1) {
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
		socket.end(`HTTP/1.1 ${details.status} Refused\r\ncontent-type: ${problemMediaType}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n`
			+ `tanagerrail-outcome: ${details.outcome}\r\nconnection: close\r\n\r\n${body}`, () => {
			socket.destroy();
		});
	}

	/** Ends a connection on which no response is due; bytes that are still being sent are sent first. */
	#closeIfIdle(socket: Socket, use: ConnectionUse): void {
		if (use.requests.size === 0 && !this.#isExpecting(use)) {
			// A request that crosses the end on its way is not served, so that its caller may send it again.
			use.isClosing = true;
			socket.end();
		}
	}

	/** Once the listener has stopped, a connection ends with the last response due on it; later requests count as not read. */
	#closeAfterLast(use: ConnectionUse): boolean {
		if (!this.#isStopped || use.requests.size === 0) {
			return false;
		}

		if (!use.last!.headersSent) {
			use.last!.setHeader('connection', 'close');
		}

		use.isClosing = true;
		return true;
	}

	#isExpecting({hasCarried, openedAt}: ConnectionUse): boolean {
		return !hasCarried && this.#options.clock() - openedAt < firstRequestMilliseconds;
	}
}
