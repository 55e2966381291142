import {createHash} from 'node:crypto';
import {
	err, ok, type Result,
} from 'neverthrow';
import type {ObjectStore} from '@tanagerrail/platform';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {BodyReference, ClaimOutcome} from './claim-item.js';
import type {Claim, StoredOutcome} from './claim-service.js';

/** Largest body stored in the table itself, in bytes; table items are limited to 400 KB and billed by size. */
export const maximumTableBodyBytes = 32 * 1024;

/**
 * Stores the body of an outcome in the object store if it is too large for the table. The platform expires the objects
 * under `outcomes/`.
 *
 * @param objects - The object store.
 * @param claim - The claim; the object key contains its token, so that retries write the same object.
 * @param outcome - The outcome.
 * @returns The outcome as stored in the table, or `object-unavailable`.
 */
export async function storeBody(objects: ObjectStore, claim: Claim, outcome: StoredOutcome): Promise<Result<ClaimOutcome, Failure>> {
	const {status, headers, body} = outcome;
	if (body.length <= maximumTableBodyBytes) {
		return ok({status, headers, body});
	}

	const reference: BodyReference = {object: `outcomes/${claim.token}`, digest: computeDigest(body)};
	return objects.put(reference.object, body).map(() => ({status, headers, body: reference}));
}

/**
 * Loads an outcome together with its body.
 *
 * @param objects - The object store.
 * @param outcome - The outcome as stored in the table.
 * @returns The outcome, or `object-unavailable` or `object-missing`.
 */
export async function loadOutcome(objects: ObjectStore, {status, headers, body}: ClaimOutcome): Promise<Result<StoredOutcome, Failure>> {
	if (body instanceof Uint8Array) {
		return ok({status, headers, body});
	}

	const loaded = await objects.get(body.object);
	return loaded.andThen(bytes => computeDigest(bytes) === body.digest
		? ok({status, headers, body: bytes})
		: err(createFailure('object-unavailable', {reason: 'the content does not match its digest'})));
}

function computeDigest(body: Uint8Array): string {
	return createHash('sha256').update(body).digest('base64url');
}
