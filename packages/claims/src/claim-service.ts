import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** Identity of a keyed request. */
export type ClaimKey = {
	readonly service: string;
	/** Value of the `Idempotency-Key` header. */
	readonly key: string;
	/** Hash of method, target and body; another one under the same key is refused. */
	readonly fingerprint: string;
	/** Days for which the outcome is kept. */
	readonly outcomeDays: number;
};

/** A claim that this host holds; nobody else runs the request while it exists. */
export type Claim = ClaimKey & {readonly token: string};

/** The whole response of a keyed request, as it is sent again for each resend. */
export type StoredOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: Uint8Array;
};

/** What a claim attempt found. */
export type ClaimResult =
	| {readonly kind: 'claimed'; readonly claim: Claim}
	| {readonly kind: 'done'; readonly outcome: StoredOutcome};

/** At-most-once execution of keyed requests by conditional writes in the table service. */
export type ClaimService = {
	/**
	 * Claims a request before it is dispatched.
	 *
	 * @param key - Identity of the request.
	 * @param remainingMilliseconds - Time left until the deadline; a wait for another host's outcome ends then.
	 * @returns The claim or the stored outcome; or `key-reused`, `outcome-unknown`, `store-unavailable`, `store-busy`.
	 */
	claim(key: ClaimKey, remainingMilliseconds: number): ResultAsync<ClaimResult, Failure>;
	/**
	 * Records that the request of a claim is about to be sent to an endpoint.
	 *
	 * @param claim - The claim of this host, as {@link ClaimService.claim} returned it.
	 * @returns Whether it may be sent; not if it was sent before and may have run, or if the claim is removed.
	 */
	recordDispatch(claim: Claim): boolean;
	/**
	 * Records that the last dispatch of a claim certainly did not run, so that another one may follow.
	 *
	 * @param claim - The claim of this host.
	 */
	recordNotRun(claim: Claim): void;
	/**
	 * Stores the outcome. A write that fails is repeated in the background, so this never fails for the caller.
	 *
	 * @param claim - The claim of this host.
	 * @param outcome - The whole response.
	 */
	finish(claim: Claim, outcome: StoredOutcome): Promise<void>;
	/**
	 * Removes the claim of a request that certainly did not run, in the background if need be.
	 *
	 * @param claim - The claim of this host.
	 */
	remove(claim: Claim): Promise<void>;
	/** Waits for writes in the background; ends when the signal says so. */
	drain(signal: AbortSignal): Promise<void>;
};
