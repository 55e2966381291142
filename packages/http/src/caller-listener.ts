import {randomUUID} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {matchRoute} from '@tanagerrail/configuration';
import {
	buildProblemDetails, createFailure, getOutcome, problemMediaType, resultCodes, type Failure,
} from '@tanagerrail/results';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {hashRequest, type CallerRequest} from './caller-request.js';
import {checkHead} from './check-head.js';
import {createListenerServer} from './create-listener-server.js';
import {readBody} from './read-body.js';
import type {RequestContext} from './request-context.js';
import {defaultRequestLimits, type RequestLimits} from './request-limits.js';
import {serveIdempotent} from './serve-idempotent.js';
import {serveKeyed} from './serve-keyed.js';
import type {TlsFiles} from './tls-files.js';

const logger = createLogger('http');

/** Options of {@link CallerListener}. */
export type CallerListenerOptions = {
	readonly context: RequestContext;
	readonly limits: RequestLimits;
	/** Whether new work is taken. */
	readonly isReady: () => boolean;
	/** Certificate and key; without them callers are served over plain TCP. */
	readonly tls?: TlsFiles;
};

/** Requests on one connection: all in progress, those that may run at an endpoint, and whether no further one may. */
type ConnectionUse = {inProgress: number; dispatched: number; isRefused: boolean};

/** Receives the requests of callers. */
export class CallerListener {
	readonly #options: CallerListenerOptions;
	readonly #server: Server;
	readonly #uses = new WeakMap<Socket, ConnectionUse>();
	#inProgress = 0;
	#isDraining = false;

	constructor(options: Partial<CallerListenerOptions> & Pick<CallerListenerOptions, 'context'>) {
		this.#options = {limits: defaultRequestLimits, isReady: () => true, ...options};
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
		this.#server.on('request', (req, res) => {
			void this.#handle(req, res);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#refuseConnection(error, socket);
		});
	}

	/** Requests that have not been answered in full. */
	get inProgress(): number {
		return this.#inProgress;
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

	/** Asks callers to close their connections after their next response. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Stops accepting connections; requests in progress go on. */
	stop(): void {
		this.#isDraining = true;
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Breaks all connections. */
	abort(): void {
		this.#server.closeAllConnections();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock} = this.#options.context;
		const arrivedAt = clock();
		const id = randomUUID();
		const use = this.#getUse(req.socket);
		this.#inProgress += 1;
		use.inProgress += 1;
		res.once('close', () => {
			use.inProgress -= 1;
		});
		if (this.#isDraining) {
			res.setHeader('connection', 'close');
		}

		try {
			const received = await this.#receive(req, res, {id, arrivedAt});
			if (received.isErr()) {
				this.#countMalformed(received.error);
				this.#refuse(res, received.error, {id});
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
			await this.#serve(received.value, res);
		} catch (error) {
			logger.log(LogLevel.error, 'internal-error', {request: id, reason: String(error)});
			this.#refuse(res, createFailure('internal-error', {reason: 'see the log'}), {id});
		} finally {
			this.#inProgress -= 1;
			if (this.#isDraining) {
				this.#server.closeIdleConnections();
			}
		}
	}

	async #receive(req: IncomingMessage, res: ServerResponse, {id, arrivedAt}: {id: string; arrivedAt: number}): Promise<Result<CallerRequest, Failure>> {
		const {context, limits, isReady} = this.#options;
		const method = req.method ?? 'GET';
		const target = req.url ?? '/';
		const checked = checkHead(req);
		if (checked.isErr()) {
			return err(checked.error);
		}

		if (this.#getUse(req.socket).inProgress > limits.pipelinedRequests) {
			return err(createFailure('pipeline-full', {limit: limits.pipelinedRequests}));
		}

		const configuration = context.getConfiguration();
		if (!configuration || !isReady()) {
			return err(createFailure('not-ready'));
		}

		const [path = '/'] = target.split('?', 1);
		const match = matchRoute(configuration, method, path);
		if (!match) {
			return err(createFailure('route-unknown', {method, path}));
		}

		const body = await readBody(req, limits.bodyBytes);
		if (body.isErr()) {
			return err(body.error);
		}

		const asked = Number(req.headers['request-timeout'] ?? Infinity);
		const allowed = Math.min(match.workClass.deadlineMilliseconds, asked > 0 ? asked : Infinity);
		const controller = new AbortController();
		res.once('close', () => {
			if (!res.writableFinished) {
				controller.abort();
			}
		});
		return ok({
			id, method, target, headers: req.headers, body: body.value, match, arrivedAt,
			deadline: arrivedAt + allowed, callerAddress: req.socket.remoteAddress ?? 'unknown', signal: controller.signal,
			fingerprint: hashRequest({
				method, target, body: body.value, match,
			}),
			wait: {milliseconds: 0},
		});
	}

	async #serve(request: CallerRequest, res: ServerResponse): Promise<void> {
		const {context} = this.#options;
		const {service, workClass, route} = request.match;
		const serve = route.idempotent ? serveIdempotent : serveKeyed;
		const served = await serve(request, res, context);
		const milliseconds = context.clock() - request.arrivedAt;
		const tags = {service: service.name, work_class: workClass.name};
		context.metrics.recordTiming('request.duration', milliseconds, tags);
		if (served.isErr()) {
			context.metrics.count('request.refused', 1, {...tags, code: String(resultCodes[served.error.id].number)});
			this.#refuse(res, served.error, {id: request.id});
		}

		const status = served.isErr() ? resultCodes[served.error.id].status : served.value;
		context.metrics.count('request.finished', 1, {...tags, status_class: `${Math.floor(status / 100)}xx`});
		context.record({
			service: service.name,
			workClass: workClass.name,
			milliseconds,
			status,
			code: served.isErr() ? resultCodes[served.error.id].number : undefined,
			waitMilliseconds: request.wait.milliseconds,
		});
	}

	#refuse(res: ServerResponse, failure: Failure, {id}: {id: string}): void {
		logger.logFailure(LogLevel.debug, 'request-refused', failure, {request: id});
		if (res.headersSent || res.destroyed) {
			res.destroy();
			return;
		}

		const details = buildProblemDetails(failure);
		const body = JSON.stringify(details);
		res.writeHead(details.status, {
			'content-type': problemMediaType, 'content-length': Buffer.byteLength(body), 'tanagerrail-outcome': getOutcome(failure),
			...(res.req.complete ? {} : {connection: 'close'}),
		});
		res.end(body);
	}

	#countMalformed({id}: Failure): void {
		this.#options.context.metrics.count('request.malformed', 1, {code: String(resultCodes[id].number)});
	}

	#getUse(socket: Socket): ConnectionUse {
		const known = this.#uses.get(socket);
		if (known) {
			return known;
		}

		const use = {inProgress: 0, dispatched: 0, isRefused: false};
		this.#uses.set(socket, use);
		return use;
	}

	/** Answers bytes that are not HTTP. While a former request of the connection runs, the refusal would pass for its response. */
	#refuseConnection({code = ''}: NodeJS.ErrnoException, socket: Socket): void {
		const use = this.#getUse(socket);
		use.isRefused = true;
		if (code === 'ECONNRESET' || !socket.writable || use.dispatched > 0 || use.inProgress > 1) {
			socket.destroy();
			return;
		}

		const {headerBytes, requestMilliseconds} = this.#options.limits;
		const failures: Readonly<Record<string, Failure>> = {
			HPE_HEADER_OVERFLOW: createFailure('headers-too-large', {limit: headerBytes}),
			ERR_HTTP_REQUEST_TIMEOUT: createFailure('request-timeout', {limit: requestMilliseconds}),
		};
		const failure = failures[code] ?? createFailure('request-malformed', {reason: 'it is not valid HTTP/1.1'});
		this.#countMalformed(failure);
		const details = buildProblemDetails(failure);
		const body = JSON.stringify(details);
		socket.end(`HTTP/1.1 ${details.status} Refused\r\ncontent-type: ${problemMediaType}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n`
			+ `tanagerrail-outcome: ${details.outcome}\r\nconnection: close\r\n\r\n${body}`, () => {
			socket.destroy();
		});
	}
}
