import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {BodyBuffer} from './body-buffer.js';
import {checkFieldGrammar} from './check-grammar.js';

/** Limits of {@link readBody}. */
export type BodyLimits = {
	/** Maximum size of the body in bytes. */
	readonly bytes: number;
	/** Time in which the rest of the body must arrive, in milliseconds. */
	readonly milliseconds: number;
};

/**
 * Reads the body of a request in full.
 *
 * @param req - The caller's request.
 * @param limits - Limits on its size and duration.
 * @returns The body (undefined if it is empty), or `body-too-large`, `request-timeout`, `request-aborted` or, for invalid
 * trailers, `request-malformed`.
 */
export async function readBody(req: IncomingMessage, {bytes, milliseconds}: BodyLimits): Promise<Result<Uint8Array | undefined, Failure>> {
	if (Number(req.headers['content-length'] ?? 0) > bytes) {
		return err(createFailure('body-too-large', {limit: bytes}));
	}

	if (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined) {
		return ok(undefined);
	}

	const body = new BodyBuffer(Number(req.headers['content-length'] ?? 0));
	return new Promise(resolve => {
		const finish = (result: Result<Uint8Array | undefined, Failure>) => {
			clearTimeout(timer);
			req.removeAllListeners('data');
			resolve(result);
		};

		const timer = setTimeout(() => {
			finish(err(createFailure('request-timeout', {limit: milliseconds})));
		}, milliseconds);
		req.on('data', (chunk: Uint8Array) => {
			if (body.length + chunk.length > bytes) {
				finish(err(createFailure('body-too-large', {limit: bytes})));
				return;
			}

			body.append(chunk);
		});
		req.once('end', () => {
			finish(checkFieldGrammar(req.rawTrailers).map(() => body.length === 0 ? undefined : body.take()));
		});
		// The events that follow the first one have no effect.
		for (const event of ['error', 'close']) {
			req.once(event, () => {
				finish(err(createFailure('request-aborted', {}, 'not-run')));
			});
		}
	});
}
