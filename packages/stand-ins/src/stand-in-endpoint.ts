import {createHash} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
	defaultEndpointBehaviour, endpointFaultsSchema, type EndpointBehaviour, type EndpointFaults,
} from './endpoint-behaviour.js';
import {buildContent, type EndpointContent} from './endpoint-content.js';
import {computeDuration} from './endpoint-duration.js';
import {EndpointLoadReport} from './endpoint-load-report.js';
import {
	bodyDurationHeader, createStopSignal, describeUnreadRequest, lengthHeader, receiveRequest, StopReason, type EndpointRequest,
} from './endpoint-request.js';
import {
	EndpointRequestLog, readWallClock, RequestEnd, type EndpointRequestRecord,
} from './endpoint-request-log.js';
import {EndpointSlots} from './endpoint-slots.js';
import {EndpointWork} from './endpoint-work.js';

const bodyPieceCount = 10;

/** Stand-in for an endpoint: an HTTP server with slots, load reports and faults on demand. */
export class StandInEndpoint {
	readonly #log = new EndpointRequestLog();
	readonly #report = new EndpointLoadReport();
	readonly #work = new EndpointWork();
	readonly #slots: EndpointSlots;
	readonly #sockets = new Set<Socket>();
	readonly #silentSockets = new WeakSet<Socket>();
	/** Bytes transferred on each connection up to the end of its latest request. */
	readonly #countedBytes = new WeakMap<Socket, number>();
	readonly #adminHandlers: Readonly<Record<string, (request: EndpointRequest) => void>> = {
		'GET /-/load': ({res, record}) => {
			this.#log.add({
				...record, startedAt: record.receivedAt, endedAt: record.receivedAt, end: RequestEnd.answered,
			});
			this.#setStateHeaders(res);
			res.end('{}');
		},
		'GET /-/runs': ({res}) => {
			res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(this.#log.records));
		},
		'DELETE /-/runs': ({res}) => {
			this.#log.reset();
			res.writeHead(204).end();
		},
		'PUT /-/faults': ({res, body}) => {
			const faults = endpointFaultsSchema.safeParse(JSON.parse(Buffer.from(body).toString()));
			if (faults.success) {
				this.update(faults.data);
			}

			res.writeHead(faults.success ? 204 : 400).end(faults.error?.message);
		},
	};

	#server: Server;
	#behaviour: EndpointBehaviour;
	#slownessTimer: NodeJS.Timeout | undefined;
	#host = '127.0.0.1';
	#port = 0;
	#listeningSince = 0;
	#isStopped = false;
	#startedCount = 0;

	constructor(behaviour: Partial<EndpointBehaviour> = {}) {
		this.#behaviour = {...defaultEndpointBehaviour, ...behaviour};
		this.#slots = new EndpointSlots(this.#behaviour.slots);
		this.#server = this.#createServer();
	}

	/** Number of requests whose processing has started. */
	get startedCount(): number {
		return this.#startedCount;
	}

	/** Records of the latest requests, in order of arrival. */
	get requestRecords(): readonly EndpointRequestRecord[] {
		return this.#log.records;
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port; 0 picks a free one.
	 * @param host - IP address, reused for the restart after a crash. With an address that no other process uses, the port
	 * cannot be taken while the endpoint is down.
	 * @returns The port.
	 */
	async start(port = 0, host = this.#host): Promise<number> {
		this.#host = host;
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		const address = this.#server.address();
		this.#port = typeof address === 'object' && address ? address.port : port;
		this.#listeningSince = performance.now();
		return this.#port;
	}

	/**
	 * Changes the behaviour and causes faults.
	 *
	 * @param faults - The properties to change, and one-time faults.
	 */
	update({silenceShare, stallMilliseconds, ...behaviour}: EndpointFaults): void {
		const changes = Object.fromEntries(Object.entries(behaviour).filter(([, value]) => value !== undefined));
		this.#behaviour = {...this.#behaviour, ...changes};
		this.#slots.update(this.#behaviour.slots);
		this.#work.pause(stallMilliseconds ?? 0);
		this.#silenceConnections(silenceShare ?? 0);
		if (behaviour.slowness !== undefined) {
			this.#scheduleSlownessEnd();
		}
	}

	/** Stops immediately and closes all connections. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#slownessTimer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#createServer(): Server {
		const server = createServer({keepAliveTimeout: 60_000}, (req, res) => {
			void this.#handleRequest(req, res);
		});
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		return server;
	}

	async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		// A silenced connection stays open, but its requests are ignored.
		if (this.#silentSockets.has(req.socket)) {
			this.#log.add(describeUnreadRequest(req));
			return;
		}

		try {
			const request = await receiveRequest(req, res);
			const handleAdmin = this.#adminHandlers[`${req.method} ${req.url}`];
			if (handleAdmin) {
				handleAdmin(request);
				return;
			}

			this.#log.add(request.record);
			await this.#serve(request);
			this.#countBytes(req.socket);
		} catch (error) {
			// Callers that disconnect are expected in tests; any other error is a bug in the stand-in.
			if (!res.destroyed) {
				res.writeHead(500).end(String(error));
			}
		}
	}

	async #serve(request: EndpointRequest): Promise<void> {
		const {record} = request;
		const {isFailing, shedAbove, crashTarget} = this.#behaviour;
		if (isFailing) {
			this.#finishWithoutContent(request, {status: 500, end: RequestEnd.failed});
			return;
		}

		if (this.#slots.inUse >= this.#behaviour.slots && this.#slots.waiting >= (shedAbove ?? Infinity)) {
			this.#finishWithoutContent(request, {status: 503, end: RequestEnd.refused});
			return;
		}

		const signal = createStopSignal(request, this.#behaviour);
		if (!await this.#slots.take(signal)) {
			this.#finishWithoutContent(request, {status: 503, end: RequestEnd.refused});
			return;
		}

		this.#startedCount += 1;
		record.startedAt = readWallClock();
		try {
			if (record.target === crashTarget) {
				this.#simulateCrash(record);
				return;
			}

			await this.#work.run(computeDuration(request, this.#behaviour, performance.now() - this.#listeningSince), signal);
			await this.#respond(request);
		} catch {
			const isExpired = signal.reason === StopReason.expired;
			this.#finishWithoutContent(request, {status: 504, end: isExpired ? RequestEnd.expired : RequestEnd.cancelled});
		} finally {
			record.endedAt ??= readWallClock();
			this.#slots.release();
		}
	}

	async #respond(request: EndpointRequest): Promise<void> {
		const {req, record, body} = request;
		const length = req.headers[lengthHeader];
		const content = buildContent({
			method: record.method,
			target: record.target,
			headers: req.headers,
			requestHash: createHash('sha256').update(`${record.method} ${record.target}`).update(body).digest('hex'),
			length: length === undefined ? undefined : Number(length),
		});
		await this.#writeContent(request, content);
		record.end ??= RequestEnd.answered;
	}

	async #writeContent({req, res}: EndpointRequest, {status, headers, body}: EndpointContent): Promise<void> {
		if (this.#silentSockets.has(req.socket)) {
			return;
		}

		this.#setStateHeaders(res);
		res.writeHead(status, headers);
		const limit = this.#behaviour.cutAfterBytes ?? Infinity;
		const duration = Number(req.headers[bodyDurationHeader] ?? 0);
		const pieceLength = duration > 0 ? Math.max(1, Math.ceil(body.length / bodyPieceCount)) : body.length;
		for (let start = pieceLength; start < body.length && start <= limit; start += pieceLength) {
			res.write(body.subarray(start - pieceLength, start));
			await waitMilliseconds(duration / bodyPieceCount);
		}

		if (body.length > limit) {
			res.destroy();
			return;
		}

		res.end(body.length === 0 ? undefined : body.subarray((Math.ceil(body.length / pieceLength) - 1) * pieceLength));
	}

	/** Counts the bytes of a connection since the last call for it. */
	#countBytes(socket: Socket): number {
		const total = socket.bytesRead + socket.bytesWritten;
		const bytes = total - (this.#countedBytes.get(socket) ?? 0);
		this.#countedBytes.set(socket, total);
		return bytes;
	}

	#finishWithoutContent({req, res, record}: EndpointRequest, {status, end}: {status: number; end: RequestEnd}): void {
		record.end ??= end;
		record.endedAt ??= readWallClock();
		if (res.destroyed || res.headersSent || this.#silentSockets.has(req.socket)) {
			return;
		}

		this.#setStateHeaders(res);
		const refusal = {'tanagerrail-outcome': 'not-run', 'tanagerrail-attempt': req.headers['tanagerrail-attempt'] ?? ''};
		res.writeHead(status, end === RequestEnd.refused ? refusal : {}).end();
	}

	/** Sets the headers with the load report and the draining notice. */
	#setStateHeaders(res: ServerResponse): void {
		const {slots, reportedInFlight, reportLagMilliseconds, isDraining} = this.#behaviour;
		const inFlight = reportedInFlight ?? (this.#slots.inUse + this.#slots.waiting);
		res.setHeader('endpoint-load-metrics', this.#report.describe({inFlight, slots}, reportLagMilliseconds));
		if (isDraining) {
			res.setHeader('endpoint-state', 'draining');
		}
	}

	#simulateCrash(record: EndpointRequestRecord): void {
		record.end = RequestEnd.crashed;
		const {crashesProcess, restartMilliseconds} = this.#behaviour;
		if (crashesProcess) {
			process.kill(process.pid, 'SIGKILL');
		}

		this.#server.close();
		this.#server.closeAllConnections();
		setTimeout(() => {
			if (!this.#isStopped) {
				this.#server = this.#createServer();
				void this.start(this.#port);
			}
		}, restartMilliseconds);
	}

	#silenceConnections(share: number): void {
		const open = [...this.#sockets].filter(socket => !this.#silentSockets.has(socket));
		for (const socket of open.slice(0, Math.round(share * open.length))) {
			this.#silentSockets.add(socket);
		}
	}

	#scheduleSlownessEnd(): void {
		const {slowMilliseconds} = this.#behaviour;
		clearTimeout(this.#slownessTimer);
		if (typeof slowMilliseconds === 'number') {
			this.#slownessTimer = setTimeout(() => {
				this.#behaviour = {...this.#behaviour, slowness: 1, slowMilliseconds: undefined};
			}, slowMilliseconds);
		}
	}
}
