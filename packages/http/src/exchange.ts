import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Dispatcher} from 'undici';
import type {Connection, ConnectionPool} from './connection-pool.js';
import {Deferred} from './deferred.js';
import type {HeaderFields} from './forwarded-headers.js';

/** A request as it goes over one connection. */
export type ExchangeRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: HeaderFields;
	readonly body: Uint8Array | undefined;
};

/** Why an exchange gave no response. */
export type ExchangeFailure = {
	/** Whether bytes of the request may have reached the endpoint. */
	readonly wasSent: boolean;
	readonly reason: string;
};

/** Receives the rest of a body; a promise, if any, resolves when there is room for more. */
export type WriteChunk = (chunk: Uint8Array) => Promise<void> | undefined;

/** A response, with its body as far as it has been received. */
export type ExchangeResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** Bytes of the body that have been received. */
	readonly body: Buffer;
	/** Whether the body is complete. */
	readonly isComplete: boolean;
	/**
	 * Passes on the rest of a body that is not complete.
	 *
	 * @param write - Receives each chunk in turn.
	 * @returns Whether the body was received to its end.
	 */
	readonly streamRest: (write: WriteChunk) => Promise<boolean>;
};

/** Options of {@link Exchange}. */
export type ExchangeOptions = {
	readonly pool: ConnectionPool;
	readonly connection: Connection;
	readonly request: ExchangeRequest;
	/** Bytes of a body that are received before the response is handed over unfinished. */
	readonly bufferBytes: number;
	/** Whether the caller of the exchange gives the connection back itself; false by default. */
	readonly keepsConnection?: boolean;
};

type ResponseHead = {readonly status: number; readonly headers: IncomingHttpHeaders};

/** One request and its response over one connection. The connection returns to its pool when the response has ended. */
export class Exchange {
	readonly #options: ExchangeOptions;
	readonly #chunks: Buffer[] = [];
	readonly #result = new Deferred<Result<ExchangeResponse, ExchangeFailure>>();
	/** Resolved when the body has ended, with whether it is whole. */
	readonly #rest = new Deferred<boolean>();
	#head: ResponseHead | undefined;
	#wasSent = false;
	#receivedBytes = 0;
	#isHandedOver = false;
	#isEnded = false;
	#controller: Dispatcher.DispatchController | undefined;
	#write: WriteChunk | undefined;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#start();
	}

	/** Resolves with the response, complete or up to the buffer's size, or with the failure; never rejects. */
	get result(): Promise<Result<ExchangeResponse, ExchangeFailure>> {
		return this.#result.promise;
	}

	/** Breaks the exchange off and closes its connection. */
	abort(): void {
		if (!this.#isEnded) {
			this.#options.pool.drop(this.#options.connection);
		}
	}

	/** Closes the connection also after the response has ended, because bytes of another one may follow. */
	drop(): void {
		this.#options.pool.drop(this.#options.connection);
	}

	#start(): void {
		const {connection: {client}, request: {method, target, headers, body}} = this.#options;
		client.dispatch({
			method, path: target, headers, body: body ?? null,
		}, {
			onRequestStart: controller => {
				this.#controller = controller;
				this.#wasSent = true;
			},
			onResponseStart: (_, status, responseHeaders) => {
				// Informational responses precede the final one.
				if (status >= 200) {
					this.#head = {status, headers: responseHeaders};
				}
			},
			onResponseData: (_, chunk) => {
				this.#receive(chunk);
			},
			onResponseEnd: () => {
				this.#finish();
			},
			onResponseError: (_, error) => {
				this.#fail(error);
			},
		});
	}

	#receive(chunk: Buffer): void {
		this.#receivedBytes += chunk.length;
		if (this.#write) {
			this.#forward(chunk);
			return;
		}

		this.#chunks.push(chunk);
		if (this.#receivedBytes > this.#options.bufferBytes) {
			this.#controller?.pause();
			this.#handOver(false);
		}
	}

	/** Passes a chunk on; the endpoint is read no further while the receiver has no room. */
	#forward(chunk: Buffer): void {
		const room = this.#write!(chunk);
		if (room) {
			this.#controller?.pause();
			void this.#resumeAfter(room);
		}
	}

	async #resumeAfter(room: Promise<void>): Promise<void> {
		await room;
		this.#scheduleResume();
	}

	/** The parser of undici must not be resumed from within its own call. */
	#scheduleResume(): void {
		setImmediate(() => {
			if (!this.#isEnded) {
				this.#controller?.resume();
			}
		});
	}

	#finish(): void {
		const {pool, connection, keepsConnection = false} = this.#options;
		if (isCutShort(this.#head!, connection)) {
			this.#fail(new Error('the connection ended before the response'));
			return;
		}

		this.#isEnded = true;
		if (this.#head?.headers.connection?.toLowerCase() === 'close') {
			pool.drop(connection);
		} else if (!keepsConnection) {
			pool.release(connection);
		}

		this.#handOver(true);
		this.#rest.resolve(true);
	}

	#fail({message}: Error): void {
		const {pool, connection} = this.#options;
		this.#isEnded = true;
		pool.drop(connection);
		if (this.#isHandedOver) {
			this.#rest.resolve(false);
			return;
		}

		this.#isHandedOver = true;
		this.#result.resolve(err({wasSent: this.#wasSent, reason: message}));
	}

	#handOver(isComplete: boolean): void {
		if (this.#isHandedOver) {
			return;
		}

		this.#isHandedOver = true;
		this.#result.resolve(ok({
			...this.#head!, isComplete, body: Buffer.concat(this.#chunks.splice(0)), streamRest: async write => this.#streamRest(write),
		}));
	}

	async #streamRest(write: WriteChunk): Promise<boolean> {
		this.#write = write;
		for (const chunk of this.#chunks.splice(0)) {
			this.#forward(chunk);
		}

		this.#scheduleResume();
		return this.#rest.promise;
	}
}

/** A response that ends with its connection is complete only if it has no length of its own and the end is no reset. */
function isCutShort({headers}: ResponseHead, {ending}: Connection): boolean {
	return ending === 'reset' || (ending === 'ended' && headers['transfer-encoding'] !== undefined);
}
