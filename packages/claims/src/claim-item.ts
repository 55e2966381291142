import type {TableItem, TableWrite} from '@tanagerrail/platform';
import type {Claim, ClaimKey, StoredOutcome} from './claim-service.js';

/** State of a claim in the table. */
export const ClaimState = {
	/** The request may be running, or its outcome is not known. */
	claimed: 'claimed',
	/** The outcome is stored. */
	done: 'done',
} as const;

/** `claimed` or `done`. */
export type ClaimState = typeof ClaimState[keyof typeof ClaimState];

/** Who made a claim. */
export type ClaimHolder = {readonly host: string; readonly incarnation: string};

/** Where a body that is too large for the table is kept. */
export type BodyReference = {
	/** Key of the object. */
	readonly object: string;
	/** SHA-256 of the body, in base64url. */
	readonly digest: string;
};

/** An outcome as the table holds it. */
export type ClaimOutcome = Pick<StoredOutcome, 'status' | 'headers'> & {readonly body: Uint8Array | BodyReference};

/** A claim as the table holds it. */
export type ClaimItem = {
	readonly token: string;
	readonly fingerprint: string;
	/** Present if the state is `done`. */
	readonly outcome?: ClaimOutcome;
};

const secondsOfDay = 86_400;

/**
 * Computes the table key of a claim.
 *
 * @param key - Identity of the request.
 * @returns Key of the item; the service is escaped, so that no two pairs share a key.
 */
export function computeItemKey({service, key}: Pick<ClaimKey, 'service' | 'key'>): string {
	return `claim#${encodeURIComponent(service)}#${key}`;
}

/**
 * Builds the write that claims a request unless it is claimed already.
 *
 * @param claim - The claim.
 * @param holder - This host.
 * @returns A put of an item that never expires.
 */
export function buildClaimWrite(claim: Claim, holder: ClaimHolder): TableWrite {
	const attributes = {...buildIdentity(claim, holder), state: ClaimState.claimed};
	return {kind: 'put', item: {key: computeItemKey(claim), attributes}, condition: {kind: 'absent'}};
}

/**
 * Builds the write that stores an outcome with its claim. It can be repeated, because the token stays.
 *
 * @param claim - The claim of this host.
 * @param outcome - The outcome.
 * @param options - This host, and the wall-clock time in milliseconds since the epoch.
 * @returns A put that holds only where the token is that of the claim.
 */
export function buildOutcomeWrite(claim: Claim, outcome: ClaimOutcome, {now, ...holder}: ClaimHolder & {now: number}): TableWrite {
	const {status, headers, body} = outcome;
	const attributes = {
		...buildIdentity(claim, holder),
		state: ClaimState.done,
		status: String(status),
		headers: JSON.stringify(headers),
		...(body instanceof Uint8Array ? {body: Buffer.from(body).toString('base64')} : body),
	};
	const expiresAtSeconds = Math.ceil((now / 1000) + (claim.outcomeDays * secondsOfDay));
	return {
		kind: 'put', item: {key: computeItemKey(claim), attributes, expiresAtSeconds}, condition: {kind: 'equals', attribute: 'token', value: claim.token},
	};
}

/**
 * Builds the write that removes a claim.
 *
 * @param claim - The claim.
 * @returns A deletion that holds only where the token is that of the claim.
 */
export function buildRemoval(claim: Claim): TableWrite {
	return {kind: 'delete', key: computeItemKey(claim), condition: {kind: 'equals', attribute: 'token', value: claim.token}};
}

/**
 * Decodes a claim.
 *
 * @param item - Item of the table.
 * @returns The claim.
 */
export function decodeClaimItem({attributes}: TableItem): ClaimItem {
	const {
		token = '', fingerprint = '', state, status, headers = '{}', body = '', object, digest = '',
	} = attributes;
	if (state !== ClaimState.done) {
		return {token, fingerprint};
	}

	return {
		token,
		fingerprint,
		outcome: {
			status: Number(status),
			headers: JSON.parse(headers) as StoredOutcome['headers'],
			body: object === undefined ? Buffer.from(body, 'base64') : {object, digest},
		},
	};
}

function buildIdentity({token, fingerprint}: Claim, {host, incarnation}: ClaimHolder) {
	return {
		token, fingerprint, host, incarnation,
	};
}
