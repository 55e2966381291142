import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';

/**
 * Reads the body of a request in full.
 *
 * @param req - The caller's request.
 * @param limit - Maximum size of the body in bytes.
 * @returns The body (undefined if it is empty), or `body-too-large` or `request-aborted`.
 */
export async function readBody(req: IncomingMessage, limit: number): Promise<Result<Uint8Array | undefined, Failure>> {
	if (Number(req.headers['content-length'] ?? 0) > limit) {
		return err(createFailure('body-too-large', {limit}));
	}

	if (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined) {
		return ok(undefined);
	}

	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > limit) {
				return err(createFailure('body-too-large', {limit}));
			}

			chunks.push(chunk);
		}
	} catch {
		return err(createFailure('request-aborted', {}, 'not-run'));
	}

	return ok(length === 0 ? undefined : Buffer.concat(chunks));
}
