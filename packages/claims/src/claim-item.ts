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

/** The host that made a claim; the incarnation is an id of the run of its process. */
export type ClaimHolder = {readonly host: string; readonly incarnation: string};

/** Reference to a body in the object store that is too large for the table. */
export type BodyReference = {
	/** Key of the object. */
	readonly object: string;
	/** SHA-256 of the body, in base64url. */
	readonly digest: string;
};

/** An outcome as stored in the table. */
export type ClaimOutcome = Pick<StoredOutcome, 'status' | 'headers'> & {readonly body: Uint8Array | BodyReference};

/** A claim as stored in the table. */
export type ClaimItem = {
	readonly token: string;
	readonly fingerprint: string;
	/** Present if the state is `done`. */
	readonly outcome?: ClaimOutcome;
};

const secondsPerDay = 86_400;

/**
 * Computes the table key of a claim.
 *
 * @param key - Identity of the request.
 * @returns Key of the item; the service name is escaped so that two different pairs of service and key never share an item.
 */
export function computeItemKey({service, key}: Pick<ClaimKey, 'service' | 'key'>): string {
	return `claim#${encodeURIComponent(service)}#${key}`;
}

/**
 * Builds the conditional write that claims a request unless it is already claimed.
 *
 * @param claim - The claim.
 * @param holder - This host.
 * @returns A put of an item without an expiry.
 */
export function buildClaimWrite(claim: Claim, holder: ClaimHolder): TableWrite {
	const attributes = {...buildCommonAttributes(claim, holder), state: ClaimState.claimed};
	return {kind: 'put', item: {key: computeItemKey(claim), attributes}, condition: {kind: 'absent'}};
}

/**
 * Builds the write that stores an outcome with its claim. It is safe to retry, because it keeps the token.
 *
 * @param claim - The claim of this host.
 * @param outcome - The outcome.
 * @param options - This host, and the wall-clock time in milliseconds since the epoch.
 * @returns A put on condition that the stored token is that of the claim.
 */
export function buildOutcomeWrite(claim: Claim, outcome: ClaimOutcome, {now, ...holder}: ClaimHolder & {now: number}): TableWrite {
	const {status, headers, body} = outcome;
	const attributes = {
		...buildCommonAttributes(claim, holder),
		state: ClaimState.done,
		status: String(status),
		headers: JSON.stringify(headers),
		...(body instanceof Uint8Array ? {body: Buffer.from(body).toString('base64')} : body),
	};
	const expiresAtSeconds = Math.ceil((now / 1000) + (claim.outcomeDays * secondsPerDay));
	return {
		kind: 'put', item: {key: computeItemKey(claim), attributes, expiresAtSeconds}, condition: {kind: 'equals', attribute: 'token', value: claim.token},
	};
}

/**
 * Builds the write that removes a claim.
 *
 * @param claim - The claim.
 * @returns A deletion on condition that the stored token is that of the claim.
 */
export function buildRemovalWrite(claim: Claim): TableWrite {
	return {kind: 'delete', key: computeItemKey(claim), condition: {kind: 'equals', attribute: 'token', value: claim.token}};
}

/**
 * Decodes a stored claim.
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

function buildCommonAttributes({token, fingerprint}: Claim, {host, incarnation}: ClaimHolder) {
	return {
		token, fingerprint, host, incarnation,
	};
}
