import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {chooseLoopbackAddress} from './choose-loopback-address.js';
import {noPlatformFaults, platformFaultsSchema, type PlatformFaults} from './platform-faults.js';

/** A fully received request. */
export type PlatformRequest = {
	readonly method: string;
	readonly url: URL;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** The response to a request. */
export type PlatformResponse = {
	readonly status: number;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
};

/** The protocol of one platform service. */
export type PlatformProtocol = {
	/** Handlers of additional control requests below `/-/`, by method and path. */
	readonly controls?: Readonly<Record<string, (request: PlatformRequest) => PlatformResponse>>;
	isWrite(request: PlatformRequest): boolean;
	/** Serves a request synchronously, so that concurrent requests cannot interleave. */
	serve(request: PlatformRequest): PlatformResponse;
};

/** URLs of a running stand-in. */
export type PlatformUrls = {
	readonly url: string;
	/** Serves `/-/faults` even while connections to `url` are refused. */
	readonly controlUrl: string;
};

/** Number of successful reads and writes. */
export type PlatformCounts = {readonly reads: number; readonly writes: number};

/**
 * HTTP server of a stand-in platform service with faults on demand. `GET /-/faults` and `PUT /-/faults` read and change
 * the faults, `GET /-/counts` returns the number of successful reads and writes.
 */
export class PlatformServer {
	readonly #protocol: PlatformProtocol;
	readonly #control: Server;
	#server: Server;
	#faults = noPlatformFaults;
	readonly #counts = {reads: 0, writes: 0};
	#host = '127.0.0.1';
	#port = 0;

	constructor(protocol: PlatformProtocol) {
		this.#protocol = protocol;
		this.#server = this.#createServer();
		this.#control = this.#createServer();
	}

	get counts(): PlatformCounts {
		return {...this.#counts};
	}

	get faults(): PlatformFaults {
		return this.#faults;
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port on 127.0.0.1; 0 picks a free port on a separate loopback address, so that no other process takes the
	 * port during an outage.
	 * @returns The URLs in use.
	 */
	async start(port = 0): Promise<PlatformUrls> {
		this.#host = port === 0 ? chooseLoopbackAddress() : this.#host;
		this.#port = await this.#listen(this.#server, port);
		const controlPort = await this.#listen(this.#control, 0);
		return {url: `http://${this.#host}:${this.#port}`, controlUrl: `http://${this.#host}:${controlPort}`};
	}

	/**
	 * Changes the faults.
	 *
	 * @param faults - The faults to change; others remain as they are.
	 * @param res - Response to a change requested over HTTP; open connections are closed only after it has been sent.
	 */
	async update(faults: Partial<PlatformFaults>, res?: ServerResponse): Promise<void> {
		const previous = this.#faults.down;
		this.#faults = {...this.#faults, ...faults};
		if (this.#faults.down === previous) {
			return;
		}

		if (this.#faults.down === 'refused') {
			const server = this.#server;
			server.close();
			if (res) {
				res.setHeader('connection', 'close').once('finish', () => {
					server.closeAllConnections();
				});
				return;
			}

			server.closeAllConnections();
		} else if (previous === 'refused') {
			this.#server = this.#createServer();
			await this.#listen(this.#server, this.#port);
		}
	}

	/** Stops immediately and closes all connections. */
	stop(): void {
		closeServer(this.#server);
		closeServer(this.#control);
	}

	async #listen(server: Server, port: number): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, this.#host, resolve);
		});
		const address = server.address();
		return typeof address === 'object' && address ? address.port : port;
	}

	#createServer(): Server {
		return createServer({keepAliveTimeout: 60_000}, (req, res) => {
			void this.#handleRequest(req, res);
		});
	}

	async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			const request = await receiveRequest(req);
			if (request.url.pathname.startsWith('/-/')) {
				sendResponse(res, await this.#serveControl(request, res));
				return;
			}

			await this.#serve(request, res);
		} catch {
			// The client closed its connection before the request was complete.
			res.destroy();
		}
	}

	async #serve(request: PlatformRequest, res: ServerResponse): Promise<void> {
		const {slowMilliseconds} = this.#faults;
		if (slowMilliseconds > 0) {
			await wait(slowMilliseconds);
		}

		if (this.#faults.down !== 'none') {
			sendResponse(res, {status: 503});
			return;
		}

		const isWrite = this.#protocol.isWrite(request);
		if (isWrite && this.#faults.failWrites > 0) {
			this.#faults = {...this.#faults, failWrites: this.#faults.failWrites - 1};
			sendResponse(res, {status: 500});
			return;
		}

		const response = this.#protocol.serve(request);
		if (response.status < 300) {
			this.#counts[isWrite ? 'writes' : 'reads'] += 1;
		}

		if (isWrite && response.status < 300 && this.#faults.loseResponses > 0) {
			this.#faults = {...this.#faults, loseResponses: this.#faults.loseResponses - 1};
			res.destroy();
			return;
		}

		sendResponse(res, response);
	}

	async #serveControl(request: PlatformRequest, res: ServerResponse): Promise<PlatformResponse> {
		const {method, url, body} = request;
		const control = this.#protocol.controls?.[`${method} ${url.pathname}`];
		if (control) {
			return control(request);
		}

		if (method === 'PUT' && url.pathname === '/-/faults') {
			const faults = parseFaults(body);
			if (!faults) {
				return {status: 400, body: 'The faults are malformed.\n'};
			}

			await this.update(faults, res);
		}

		const documents: Readonly<Record<string, unknown>> = {'/-/faults': this.#faults, '/-/counts': this.#counts};
		return url.pathname in documents
			? {status: 200, headers: {'content-type': 'application/json'}, body: JSON.stringify(documents[url.pathname])}
			: {status: 404};
	}
}

function parseFaults(body: Uint8Array): Partial<PlatformFaults> | undefined {
	try {
		return platformFaultsSchema.partial().parse(JSON.parse(Buffer.from(body).toString()));
	} catch {
		return undefined;
	}
}

function closeServer(server: Server): void {
	server.close();
	server.closeAllConnections();
}

async function receiveRequest(req: IncomingMessage): Promise<PlatformRequest> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return {
		method: req.method ?? 'GET', url: new URL(req.url ?? '/', 'http://stand-in'), headers: req.headers, body: Buffer.concat(chunks),
	};
}

function sendResponse(res: ServerResponse, {status, headers = {}, body = ''}: PlatformResponse): void {
	res.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body)}).end(body);
}
