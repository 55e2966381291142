import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {chooseLoopbackHost} from './choose-loopback-host.js';

/** A request that the endpoint received. */
export type RoutedEndpointRun = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly body: string;
	/** Time that the caller of the endpoint waits, in milliseconds. */
	readonly deadlineMilliseconds: number;
	readonly headers: IncomingMessage['headers'];
	/** Whether the connection was closed before the response. */
	isCancelled: boolean;
};

/** What the endpoint does with a request. */
export type RoutedBehaviour = (run: RoutedEndpointRun, res: ServerResponse, socket: Socket) => void;

/** What a caller can be told to expect of the endpoint. */
export type RoutedEndpointOptions = {
	readonly id: string;
	readonly slots: number;
	/** How the next requests are treated, by default a whole response at once. */
	readonly behaviour: RoutedBehaviour;
};

/** Header by which an endpoint marks its own responses. */
export const sealHeader = {'x-server-seal': '1.2.3'};

/** Ready behaviours of {@link StandInRoutedEndpoint}. */
export const routedBehaviours = {
	/** A whole response. */
	serve({id, target}, res) {
		res.writeHead(200, {'x-attempt-id': id, ...sealHeader}).end(`ran ${target}`);
	},
	/** Refuses without running the request. */
	shed(_, res) {
		res.writeHead(503, {'x-not-executed': '1'}).end();
	},
	/** Runs the request and loses the response. */
	reset(_, __, socket) {
		socket.resetAndDestroy();
	},
	/** Never responds. */
	hang() {/* No answer. */},
	/** Fails with its own error. */
	fail({id}, res) {
		res.writeHead(500, {'x-attempt-id': id, ...sealHeader}).end('failed');
	},
	/** Responds to another request. */
	mix(_, res) {
		res.writeHead(200, {'x-attempt-id': 'another', ...sealHeader}).end('not yours');
	},
	/** A success that no server has sealed. */
	forge({id}, res) {
		res.writeHead(200, {'x-attempt-id': id}).end('forged');
	},
	/** A body without a length that is reset on the way. */
	cutUnframed({id}, _, socket) {
		socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\nhalf of`);
		setTimeout(() => socket.resetAndDestroy(), 20);
	},
	/** A body without a length whose last bytes and reset arrive together. */
	resetUnframed({id}, _, socket) {
		socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\nhalf of`, () => {
			socket.resetAndDestroy();
		});
	},
	/** A body without a length that ends with its connection. */
	serveUnframed({id}, _, socket) {
		socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\nwhole`);
	},
	/** A chunked body that breaks off. */
	cutChunked({id}, _, socket) {
		socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\n5\r\nhalf \r\n`);
	},
	/** A whole response, followed later by another one that nobody asked for. */
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
 * Creates a behaviour that runs another one after a time.
 *
 * @param milliseconds - The time.
 * @param behaviour - What then happens.
 * @returns The behaviour.
 */
export function createSlowBehaviour(milliseconds: number, behaviour: RoutedBehaviour = routedBehaviours.serve): RoutedBehaviour {
	return (run, res, socket) => {
		setTimeout(() => {
			behaviour(run, res, socket);
		}, milliseconds);
	};
}

/** Stand-in for a server behind the platform: health, load and requests, with faults on demand. */
export class StandInRoutedEndpoint {
	readonly id: string;
	/** Requests that were received, refused ones included. */
	readonly runs: RoutedEndpointRun[] = [];
	behaviour: RoutedBehaviour;
	isHealthy = true;
	/** Whether requests are answered before their bodies have been read. */
	isEarly = false;
	/** Id that the health path names, to play a server that has taken over the address. */
	healthId: string;
	/** How long work takes, in percent of the usual time. */
	pace = 100;
	/** Requests that are processed or wait for a slot. */
	running = 0;
	probes = 0;
	readonly #slots: number;
	readonly #sockets = new Set<Socket>();
	readonly #server: Server;

	constructor({id, slots = 3, behaviour = routedBehaviours.serve}: Partial<RoutedEndpointOptions> & Pick<RoutedEndpointOptions, 'id'>) {
		this.id = id;
		this.healthId = id;
		this.behaviour = behaviour;
		this.#slots = slots;
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
		this.#server.keepAliveTimeout = 10_000;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {/* The behaviour broke the connection itself. */});
			socket.once('close', () => this.#sockets.delete(socket));
		});
	}

	/** `ip:port` of the endpoint. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Starts to listen on a free port of an address of its own. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, chooseLoopbackHost(), resolve);
		});
	}

	/** Stops and breaks all connections. */
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
	 * @param status - Fields of its status that differ.
	 * @param place - Address and time of birth that differ, for an endpoint behind a relay.
	 * @returns The value of the row.
	 */
	buildEntry(service: string, status: Record<string, unknown> = {}, place: {readonly address?: string; readonly born?: number} = {}): object {
		return {
			address: this.address,
			born: 1000,
			...place,
			information: {
				service, version: 'v1', zone: 'zone-a', slots: this.#slots,
			},
			status: {
				state: 'ready', sequence: 1, cold_remaining_ms: 0, ...status,
			},
		};
	}

	get #load(): string {
		return `${Math.min(this.running, this.#slots)},${Math.max(0, this.running - this.#slots)},${this.#slots},${this.pace}`;
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (req.url === '/health') {
			this.probes += 1;
			res.writeHead(this.isHealthy ? 200 : 503, {'x-instance-id': this.healthId, 'x-server-load': this.#load}).end();
			return;
		}

		if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== this.healthId) {
			res.writeHead(421, {'x-instance-id': this.healthId}).end();
			return;
		}

		const run: RoutedEndpointRun = {
			id: String(req.headers['x-attempt-id']),
			method: req.method ?? '',
			target: req.url ?? '',
			body: this.isEarly ? '' : await readText(req),
			deadlineMilliseconds: Number(req.headers['x-deadline-ms']),
			headers: req.headers,
			isCancelled: false,
		};
		this.runs.push(run);
		this.running += 1;
		res.once('close', () => {
			this.running -= 1;
			run.isCancelled = !res.writableFinished;
		});
		this.behaviour(run, res, req.socket);
	}
}

async function readText(req: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}
