import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Dispatcher} from 'undici';
import {BodyBuffer} from './body-buffer.js';
import type {Connection, ConnectionPool} from './connection-pool.js';
import {Deferred} from './deferred.js';
import type {HeaderFields} from './forwarded-headers.js';

/** A request as it is sent over a connection. */
export type ExchangeRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: HeaderFields;
	readonly body: Uint8Array | undefined;
};

/** Why an exchange failed before its response was available. */
export type ExchangeFailure = {
	/** Whether bytes of the request may have reached the endpoint. */
	readonly wasSent: boolean;
	readonly reason: string;
};

/** Receives a chunk of the body; returns a promise that resolves when more can be written, or nothing if it can be at once. */
export type WriteChunk = (chunk: Uint8Array) => Promise<void> | undefined;

/** A response, with the part of its body that was buffered. */
export type ExchangeResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** The buffered part of the body. */
	readonly body: Buffer;
	/** Whether the body is complete. */
	readonly isComplete: boolean;
	/**
	 * Streams the rest of a body that is not complete.
	 *
	 * @param write - Receives each chunk in order.
	 * @returns Whether the whole body was received.
	 */
	readonly streamRest: (write: WriteChunk) => Promise<boolean>;
};

/** Options of {@link Exchange}. */
export type ExchangeOptions = {
	readonly pool: ConnectionPool;
	readonly connection: Connection;
	readonly request: ExchangeRequest;
	/** Body bytes to buffer; a response with a larger body is returned before its body is complete. */
	readonly bufferLimitBytes: number;
	/** Whether to leave releasing the connection to the code that created the exchange; false by default. */
	readonly keepsConnection?: boolean;
};

type ResponseHead = {readonly status: number; readonly headers: IncomingHttpHeaders};

/** Number of body bytes that are collected before they are written; each write of a chunk has a cost of its own. */
const writeBytes = 16_384;

/** One request and its response over one connection, which is released to its pool when the response ends. */
export class Exchange {
	readonly #options: ExchangeOptions;
	/** Body bytes that have been received and neither returned nor written yet. */
	readonly #body = new BodyBuffer();
	readonly #result = new Deferred<Result<ExchangeResponse, ExchangeFailure>>();
	/** Resolves when the body ends, with whether it is complete. */
	readonly #isBodyComplete = new Deferred<boolean>();
	#head: ResponseHead | undefined;
	#wasSent = false;
	#receivedBytes = 0;
	#isSettled = false;
	#isEnded = false;
	#controller: Dispatcher.DispatchController | undefined;
	#write: WriteChunk | undefined;
	#isWriteScheduled = false;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#start();
	}

	/** The connection that carries the exchange. */
	get connection(): Connection {
		return this.#options.connection;
	}

	/** Resolves with the response, complete or up to the buffer limit, or with the failure; never rejects. */
	get result(): Promise<Result<ExchangeResponse, ExchangeFailure>> {
		return this.#result.promise;
	}

	/** Aborts the exchange and closes its connection. */
	abort(): void {
		if (!this.#isEnded) {
			this.#options.pool.drop(this.#options.connection);
		}
	}

	/** Closes the connection even after the response has ended, because bytes of another response may follow. */
	drop(): void {
		this.#options.pool.drop(this.#options.connection);
	}

	#start(): void {
		const {connection, request: {method, target, headers, body}} = this.#options;
		connection.exchanges += 1;
		connection.dispatcher.dispatch({
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
		// A resumed parser reports an empty chunk of a body without a length. Pausing for it would repeat without end.
		if (chunk.length === 0) {
			return;
		}

		this.#receivedBytes += chunk.length;
		this.#body.append(chunk);
		if (this.#write) {
			this.#scheduleWrite();
			return;
		}

		if (this.#receivedBytes > this.#options.bufferLimitBytes) {
			this.#controller?.pause();
			this.#resolveResponse(false);
		}
	}

	/** Writes a full block of the body at once, and less than that when the bytes that have arrived are parsed. */
	#scheduleWrite(): void {
		if (this.#body.length >= writeBytes) {
			this.#writeCollected();
			return;
		}

		if (this.#isWriteScheduled) {
			return;
		}

		this.#isWriteScheduled = true;
		setImmediate(() => {
			this.#isWriteScheduled = false;
			if (!this.#isEnded) {
				this.#writeCollected();
			}
		});
	}

	/** Writes what has been collected and pauses reading from the endpoint until more can be written. */
	#writeCollected(): void {
		if (this.#body.length === 0) {
			return;
		}

		const drained = this.#write!(this.#body.take());
		if (drained && !this.#isEnded) {
			this.#controller?.pause();
			void this.#resumeAfter(drained);
		}
	}

	async #resumeAfter(drained: Promise<void>): Promise<void> {
		await drained;
		this.#scheduleResume();
	}

	/** Resumes in a later tick, because undici's parser must not be resumed from its own callback. */
	#scheduleResume(): void {
		setImmediate(() => {
			if (!this.#isEnded) {
				this.#controller?.resume();
			}
		});
	}

	#finish(): void {
		const {pool, connection, keepsConnection = false} = this.#options;
		if (isTruncated(this.#head!, connection)) {
			this.#fail(new Error('the connection closed before the response was complete'));
			return;
		}

		this.#isEnded = true;
		if (this.#write) {
			this.#writeCollected();
		}

		if (this.#head?.headers.connection?.toLowerCase() === 'close') {
			pool.drop(connection);
		} else if (!keepsConnection) {
			pool.release(connection);
		}

		this.#resolveResponse(true);
		this.#isBodyComplete.resolve(true);
	}

	#fail({message}: Error): void {
		const {pool, connection} = this.#options;
		this.#isEnded = true;
		pool.drop(connection);
		if (this.#isSettled) {
			this.#isBodyComplete.resolve(false);
			return;
		}

		this.#isSettled = true;
		this.#result.resolve(err({wasSent: this.#wasSent, reason: message}));
	}

	#resolveResponse(isComplete: boolean): void {
		if (this.#isSettled) {
			return;
		}

		this.#isSettled = true;
		this.#result.resolve(ok({
			...this.#head!, isComplete, body: this.#body.take(), streamRest: async write => this.#streamRest(write),
		}));
	}

	async #streamRest(write: WriteChunk): Promise<boolean> {
		this.#write = write;
		this.#writeCollected();
		this.#scheduleResume();
		return this.#isBodyComplete.promise;
	}
}

/**
 * Tells whether a response was cut off by the close of its connection. A response that is delimited by the close is
 * complete if the connection was not reset; a chunked one is not, because its last chunk is missing.
 */
function isTruncated({headers}: ResponseHead, {remoteClose}: Connection): boolean {
	return remoteClose === 'reset' || (remoteClose === 'ended' && headers['transfer-encoding'] !== undefined);
}
