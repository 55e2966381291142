import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {chooseLoopbackAddress} from './choose-loopback-address.js';

/** A request that the endpoint received. */
export type RoutedEndpointRequest = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly body: string;
	/** Remaining time until the caller's deadline, in milliseconds. */
	readonly deadlineMilliseconds: number;
	readonly headers: IncomingMessage['headers'];
	/** Whether the connection was closed before the response was complete. */
	isCancelled: boolean;
};

/** Handles a request: sends a response or causes a fault. */
export type RoutedBehaviour = (request: RoutedEndpointRequest, res: ServerResponse, socket: Socket) => void;

/** Options of {@link StandInRoutedEndpoint}. */
export type RoutedEndpointOptions = {
	readonly id: string;
	readonly slots: number;
	/** Handles the requests; by default, each gets a complete response immediately. */
	readonly behaviour: RoutedBehaviour;
};

/** Header that an endpoint adds to responses to mark them as its own. */
export const sealHeader = {'x-server-seal': '1.2.3'};

/** Predefined behaviours of {@link StandInRoutedEndpoint}. */
export const routedBehaviours = {
	/** Sends a complete response. */
	serve({id, target}, res) {
		res.writeHead(200, {'x-attempt-id': id, ...sealHeader}).end(`ran ${target}`);
	},
	/** Refuses the request without processing it. */
	shed({id}, res) {
		res.writeHead(503, {'x-not-executed': '1', 'x-attempt-id': id}).end();
	},
	/** Refuses the request without processing it and without the id of the request. */
	shedWithoutId(_, res) {
		res.writeHead(503, {'x-not-executed': '1'}).end();
	},
	/** Processes the request, but resets the connection instead of sending the response. */
	reset(_, __, socket) {
		socket.resetAndDestroy();
	},
	/** Never responds. */
	hang() {/* No response. */},
	/** Responds with an error of the endpoint itself. */
	fail({id}, res) {
		res.writeHead(500, {'x-attempt-id': id, ...sealHeader}).end('failed');
	},
	/** Sends a response whose attempt id is that of another request. */
	respondToOther(_, res) {
		res.writeHead(200, {'x-attempt-id': 'another', ...sealHeader}).end('not yours');
	},
	/** Sends a success without {@link sealHeader}, as if it did not come from the endpoint. */
	serveUnsealed({id}, res) {
		res.writeHead(200, {'x-attempt-id': id}).end('forged');
	},
	/** Sends part of a close-delimited body (neither `content-length` nor chunks) and resets the connection later. */
	resetCloseDelimitedLater({id}, _, socket) {
		socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\nhalf of`);
		setTimeout(() => socket.resetAndDestroy(), 20);
	},
	/** Sends part of a close-delimited body and resets the connection at the same time. */
	resetCloseDelimited({id}, _, socket) {
		socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\nhalf of`, () => {
			socket.resetAndDestroy();
		});
	},
	/** Sends a complete close-delimited body. */
	serveCloseDelimited({id}, _, socket) {
		socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\nwhole`);
	},
	/** Sends a chunked body and closes the connection before the last chunk. */
	truncateChunked({id}, _, socket) {
		socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\n5\r\nhalf \r\n`);
	},
	/** Sends a complete response, followed by a second one without a request. */
	serveTwice({id}, res, socket) {
		res.writeHead(200, {'x-attempt-id': id, ...sealHeader}).end('first');
		setTimeout(() => {
			if (!socket.destroyed) {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 6\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\nsecond`);
			}
		}, 5);
	},
} satisfies Record<string, RoutedBehaviour>;

/**
 * Creates a behaviour that delays another one.
 *
 * @param milliseconds - The delay.
 * @param behaviour - The behaviour to delay.
 * @returns The delayed behaviour.
 */
export function createSlowBehaviour(milliseconds: number, behaviour: RoutedBehaviour = routedBehaviours.serve): RoutedBehaviour {
	return (request, res, socket) => {
		setTimeout(() => {
			behaviour(request, res, socket);
		}, milliseconds);
	};
}

/** Path of health checks. */
const healthPath = '/health';

/** Connections on which a late copy is still to be sent. */
const socketsWithCopy = new WeakSet<Socket>();

/**
 * Sends a second copy of a response late: at the point where the response to the next request on the connection is due. Health
 * checks in between get their own responses. One copy is sent at a time.
 *
 * @param socket - The connection.
 * @param copy - The response as text.
 */
export function sendLateCopy(socket: Socket, copy: string): void {
	if (socketsWithCopy.has(socket)) {
		return;
	}

	socketsWithCopy.add(socket);
	const handleData = (chunk: Uint8Array) => {
		if (!Buffer.from(chunk).toString('latin1').startsWith(`GET ${healthPath} `)) {
			socket.off('data', handleData);
			socketsWithCopy.delete(socket);
			socket.write(copy);
		}
	};

	socket.on('data', handleData);
}

/** Stand-in for a server behind the platform: health checks, load reports and requests, with faults on demand. */
export class StandInRoutedEndpoint {
	readonly id: string;
	/** All requests received, including refused ones. */
	readonly requests: RoutedEndpointRequest[] = [];
	behaviour: RoutedBehaviour;
	isHealthy = true;
	/** Whether responses are sent before the request bodies have been read. */
	respondsBeforeBody = false;
	/** Id reported by health checks; set it to another id to simulate that another server has taken over the address. */
	healthId: string;
	/** Processing time reported as load, in percent of the normal one. */
	slownessPercent = 100;
	/** Whether health checks report the load. */
	reportsLoad = true;
	/** Number of requests that are being processed or wait for a slot. */
	inFlightCount = 0;
	/** Whether all responses announce that the endpoint is leaving. */
	isLeaving = false;
	/** Value of `Retry-After` on responses with status 503, and on health checks while the endpoint is unhealthy. */
	retryAfter: string | undefined;
	/** Number of health checks received. */
	probeCount = 0;
	/** Responds to health checks in place of the endpoint, to cause a fault. */
	respondToProbe: ((res: ServerResponse, socket: Socket) => void) | undefined;
	/** Responds to requests that expect another instance in place of the endpoint, to cause a fault. */
	respondToMisdirected: ((requestId: string, res: ServerResponse, socket: Socket) => void) | undefined;
	readonly #slots: number;
	readonly #sockets = new Set<Socket>();
	readonly #server: Server;

	constructor({id, slots = 3, behaviour = routedBehaviours.serve}: Partial<RoutedEndpointOptions> & Pick<RoutedEndpointOptions, 'id'>) {
		this.id = id;
		this.healthId = id;
		this.behaviour = behaviour;
		this.#slots = slots;
		this.#server = createServer((req, res) => {
			void this.#handleRequest(req, res);
		});
		this.#server.keepAliveTimeout = 10_000;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {/* Behaviours reset connections on purpose. */});
			socket.once('close', () => this.#sockets.delete(socket));
		});
	}

	/** `ip:port` of the endpoint. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Starts to listen on a free port of a separate loopback address. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, chooseLoopbackAddress(), resolve);
		});
	}

	/** Stops and closes all connections. */
	async stop(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	/**
	 * Builds the endpoint's entry in the registry.
	 *
	 * @param service - Name of the service.
	 * @param status - Fields that replace the default status.
	 * @param location - Address and start time (`born`) that replace the defaults, for an endpoint behind a relay.
	 * @returns The value of the row.
	 */
	buildRegistryEntry(service: string, status: Record<string, unknown> = {}, location: {readonly address?: string; readonly born?: number} = {}): object {
		return {
			address: this.address,
			born: 1000,
			...location,
			information: {
				service, version: 'v1', zone: 'zone-a', slots: this.#slots,
			},
			status: {
				state: 'ready', sequence: 1, cold_remaining_ms: 0, ...status,
			},
		};
	}

	get #loadHeader(): string {
		return `${Math.min(this.inFlightCount, this.#slots)},${Math.max(0, this.inFlightCount - this.#slots)},${this.#slots},${this.slownessPercent}`;
	}

	/** Adds the headers with which the endpoint announces that it is leaving or asks for a pause. */
	#addNotice(res: ServerResponse): void {
		const writeHead = res.writeHead.bind(res) as (status: number, headers?: Record<string, unknown>) => ServerResponse;
		const writeHeadWithNotice = (status: number, headers?: Record<string, unknown>) => writeHead(status, {
			...headers,
			...(this.isLeaving && {'server-leaving': '1'}),
			...(status === 503 && this.retryAfter !== undefined && {'retry-after': this.retryAfter}),
		});
		Object.assign(res, {writeHead: writeHeadWithNotice});
	}

	async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		this.#addNotice(res);
		if (req.url === healthPath) {
			this.probeCount += 1;
			if (this.respondToProbe) {
				this.respondToProbe(res, req.socket);
				return;
			}

			res.writeHead(this.isHealthy ? 200 : 503, {'x-instance-id': this.healthId, ...(this.reportsLoad && {'x-server-load': this.#loadHeader})}).end();
			return;
		}

		if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== this.healthId) {
			if (this.respondToMisdirected) {
				this.respondToMisdirected(String(req.headers['x-attempt-id']), res, req.socket);
				return;
			}

			res.writeHead(421, {'x-instance-id': this.healthId}).end();
			return;
		}

		const request: RoutedEndpointRequest = {
			id: String(req.headers['x-attempt-id']),
			method: req.method ?? '',
			target: req.url ?? '',
			body: this.respondsBeforeBody ? '' : await readText(req),
			deadlineMilliseconds: Number(req.headers['x-deadline-ms']),
			headers: req.headers,
			isCancelled: false,
		};
		this.requests.push(request);
		this.inFlightCount += 1;
		res.once('close', () => {
			this.inFlightCount -= 1;
			request.isCancelled = !res.writableFinished;
		});
		this.behaviour(request, res, req.socket);
	}
}

async function readText(req: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}
