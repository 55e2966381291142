import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {BodyReservation} from './body-budget.js';
import {BodyBuffer} from './body-buffer.js';
import {checkFieldGrammar} from './check-grammar.js';

/** Limits of {@link readBody}. */
export type BodyLimits = {
	/** Maximum size of the body in bytes. */
	readonly bytes: number;
	/** Time in which the rest of the body must arrive, in milliseconds. */
	readonly milliseconds: number;
	/** Memory reserved for the body; no limit without one. The caller of `readBody` releases it. */
	readonly reservation?: BodyReservation;
};

/**
 * Reads the body of a request in full.
 *
 * @param req - The caller's request.
 * @param limits - Limits on its size and duration.
 * @returns The body (undefined if it is empty), or `body-too-large`, `body-memory-full`, `request-timeout`, `request-aborted` or,
 * for invalid trailers, `request-malformed`.
 */
export async function readBody(req: IncomingMessage, {bytes, milliseconds, reservation}: BodyLimits): Promise<Result<Uint8Array | undefined, Failure>> {
	const declaredBytes = Number(req.headers['content-length'] ?? 0);
	if (declaredBytes > bytes) {
		return err(createFailure('body-too-large', {limit: bytes}));
	}

	if (reservation?.extend(declaredBytes) === false) {
		return err(createFailure('body-memory-full'));
	}

	if (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined) {
		return ok(undefined);
	}

	const body = new BodyBuffer(declaredBytes);
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

			if (reservation?.extend(body.length + chunk.length) === false) {
				finish(err(createFailure('body-memory-full')));
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
