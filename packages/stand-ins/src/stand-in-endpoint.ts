import {createHash} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';

/** Faults and properties of a stand-in endpoint; they can be changed while it runs. */
export type EndpointBehaviour = {
	/** Requests run at the same time; others wait inside the endpoint. */
	readonly slots: number;
	/** Factor on the duration of each request. */
	readonly slowness: number;
	/** Answer 500 at once. */
	readonly isFailing: boolean;
	/** Announce leaving in each response. */
	readonly isDraining: boolean;
	/** Waiting requests above which new ones are refused as not run; infinite when nothing is shed. */
	readonly shedAbove: number;
	/** Number that the load report gives instead of the true one. */
	readonly reportedInFlight: number | undefined;
};

/** Defaults of {@link EndpointBehaviour}. */
export const defaultEndpointBehaviour: EndpointBehaviour = {
	slots: 3, slowness: 1, isFailing: false, isDraining: false, shedAbove: Infinity, reportedInFlight: undefined,
};

/** Request header with the duration of the work in milliseconds. */
export const durationHeader = 'stand-in-milliseconds';

/** Request header with the length of the response body in bytes. */
export const lengthHeader = 'stand-in-bytes';

/** A small server that behaves like an endpoint: slots, a load report, and faults on demand. */
export class StandInEndpoint {
	readonly #server: Server;
	readonly #waiting: Array<() => void> = [];
	#behaviour: EndpointBehaviour;
	#inUse = 0;
	#started = 0;

	constructor(behaviour: Partial<EndpointBehaviour> = {}) {
		this.#behaviour = {...defaultEndpointBehaviour, ...behaviour};
		this.#server = createServer({keepAliveTimeout: 60_000}, (req, res) => {
			void this.#handle(req, res);
		});
	}

	/** Requests that began to run. */
	get started(): number {
		return this.#started;
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port; 0 picks a free one.
	 * @returns The port.
	 */
	async start(port = 0): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		const address = this.#server.address();
		return typeof address === 'object' && address ? address.port : port;
	}

	/**
	 * Changes the behaviour.
	 *
	 * @param behaviour - The properties to change.
	 */
	update(behaviour: Partial<EndpointBehaviour>): void {
		this.#behaviour = {...this.#behaviour, ...behaviour};
	}

	/** Stops at once and breaks all connections. */
	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {slots, slowness, isFailing, isDraining, shedAbove} = this.#behaviour;
		const chunks: Uint8Array[] = [];
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}

		res.setHeader('endpoint-load-metrics', this.#describeLoad());
		if (isDraining) {
			res.setHeader('endpoint-state', 'draining');
		}

		if (req.url === '/-/load') {
			res.end('{}');
			return;
		}

		if (isFailing) {
			res.writeHead(500).end();
			return;
		}

		if (this.#inUse >= slots && this.#waiting.length >= shedAbove) {
			res.writeHead(503, {'tanagerrail-outcome': 'not-run'}).end();
			return;
		}

		await this.#take();
		this.#started += 1;
		const duration = Number(req.headers[durationHeader] ?? 0) * slowness;
		await new Promise<void>(resolve => {
			setTimeout(resolve, duration);
		});
		this.#release();
		const body = Buffer.alloc(Number(req.headers[lengthHeader] ?? 2), 'ok');
		res.writeHead(200, {
			'content-length': body.length,
			'request-hash': createHash('sha256').update(`${req.method} ${req.url}`).update(Buffer.concat(chunks)).digest('hex'),
		});
		res.end(body);
	}

	async #take(): Promise<void> {
		if (this.#inUse >= this.#behaviour.slots) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
			return;
		}

		this.#inUse += 1;
	}

	#release(): void {
		const next = this.#waiting.shift();
		if (next) {
			next();
			return;
		}

		this.#inUse -= 1;
	}

	/** Load in the text form of ORCA (Open Request Cost Aggregation). */
	#describeLoad(): string {
		const inFlight = this.#behaviour.reportedInFlight ?? (this.#inUse + this.#waiting.length);
		return `TEXT named_metrics.in_flight=${inFlight},named_metrics.slots=${this.#behaviour.slots}`;
	}
}
