import type {Socket} from 'node:net';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {hasWellFormedFields} from './check-grammar.js';
import {PausableResponse} from './pausable-response.js';

/**
 * Bytes of a response that may be received beyond its body, in bytes: heads, informational responses, framing of chunks,
 * trailers and what the socket buffers while the body is not read.
 */
const maximumOverheadBytes = 131_072;

/** Bytes of framing allowed for each byte of the body; a chunk of one byte without extensions is framed by five. */
const maximumOverheadRatio = 8;

/** The connection that a {@link ResponseGuard} watches. */
export type GuardedConnection = {
	/** Its socket; undefined before the connection is open. */
	socket: Socket | undefined;
	/** Guard of the response that is being received. */
	guard: ResponseGuard | undefined;
};

/**
 * Ends a response that violates the grammar of HTTP or whose bytes do not become a response. The parser consumes
 * informational responses and chunk extensions without limit, so an endpoint that sends them without end would otherwise
 * occupy this host for as long as the request may last.
 */
export class ResponseGuard implements Dispatcher.DispatchHandler {
	readonly #handler: Dispatcher.DispatchHandler;
	readonly #connection: GuardedConnection;
	#response: PausableResponse | undefined;
	#bytesBefore = 0;
	#bodyBytes = 0;

	constructor(handler: Dispatcher.DispatchHandler, connection: GuardedConnection) {
		this.#handler = handler;
		this.#connection = connection;
	}

	/** The response, from the start of its request. */
	get response(): PausableResponse | undefined {
		return this.#response;
	}

	onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
		this.#response = new PausableResponse(controller);
		this.#bytesBefore = this.#connection.socket?.bytesRead ?? 0;
		this.#connection.guard = this;
		this.#handler.onRequestStart?.(this.#response, context);
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, statusMessage?: string): void {
		if (!hasWellFormedFields(headers)) {
			controller.abort(new Error('a header field of the response is malformed'));
			return;
		}

		this.#handler.onResponseStart?.(this.#response ?? controller, status, headers, statusMessage);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.#bodyBytes += chunk.length;
		this.#handler.onResponseData?.(this.#response ?? controller, chunk);
	}

	onResponseEnd(controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
		this.#release();
		if (!hasWellFormedFields(trailers)) {
			this.#handler.onResponseError?.(this.#response ?? controller, new Error('a trailer field of the response is malformed'));
			return;
		}

		this.#handler.onResponseEnd?.(this.#response ?? controller, trailers);
	}

	onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
		this.#release();
		this.#handler.onResponseError?.(this.#response ?? controller, error);
	}

	/** Aborts the request if too many of the bytes received so far are not part of a body. Called when bytes have arrived. */
	checkOverhead(): void {
		const received = (this.#connection.socket?.bytesRead ?? 0) - this.#bytesBefore;
		if (received - this.#bodyBytes > maximumOverheadBytes + (maximumOverheadRatio * this.#bodyBytes)) {
			this.#response?.abort(new Error('the endpoint sends bytes that are no response'));
		}
	}

	#release(): void {
		if (this.#connection.guard === this) {
			this.#connection.guard = undefined;
		}
	}
}
