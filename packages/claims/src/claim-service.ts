import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** Identity of a keyed request, that is, one with an idempotency key. */
export type ClaimKey = {
	readonly service: string;
	/** Value of the `Idempotency-Key` header. */
	readonly key: string;
	/** Hash of method, target and body; a request with the same key but another fingerprint is refused. */
	readonly fingerprint: string;
	/** Number of days for which the outcome is kept. */
	readonly outcomeDays: number;
};

/** A claim that this host holds; no other host runs the request while it exists. The token is unique to the claim. */
export type Claim = ClaimKey & {readonly token: string};

/** The complete response to a keyed request; it is replayed for each resend of the request. */
export type StoredOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: Uint8Array;
};

/** Result of a claim attempt: a new claim, or the stored outcome of an earlier run. */
export type ClaimResult =
	| {readonly kind: 'claimed'; readonly claim: Claim}
	| {readonly kind: 'done'; readonly outcome: StoredOutcome};

/** At-most-once execution of keyed requests, based on conditional writes to the table service. */
export type ClaimService = {
	/**
	 * Claims a request before it is dispatched.
	 *
	 * @param key - Identity of the request.
	 * @param remainingMilliseconds - Time until the deadline, which also ends the wait for another host's outcome.
	 * @returns The claim or the stored outcome; or `key-reused`, `outcome-unknown`, `store-unavailable`, `store-busy`.
	 */
	claim(key: ClaimKey, remainingMilliseconds: number): ResultAsync<ClaimResult, Failure>;
	/**
	 * Records that the request of a claim is about to be sent to an endpoint.
	 *
	 * @param claim - The claim of this host, as {@link ClaimService.claim} returned it.
	 * @returns Whether it may be sent; false if it was dispatched before and may have run, or if the claim has been removed.
	 */
	recordDispatch(claim: Claim): boolean;
	/**
	 * Records that the last dispatch of a claim definitely did not run, so that the request may be dispatched again.
	 *
	 * @param claim - The claim of this host.
	 */
	recordNotRun(claim: Claim): void;
	/**
	 * Stores the outcome. A failed write is retried in the background, so this never fails for the caller.
	 *
	 * @param claim - The claim of this host.
	 * @param outcome - The complete response.
	 */
	storeOutcome(claim: Claim, outcome: StoredOutcome): Promise<void>;
	/**
	 * Removes the claim of a request that definitely did not run; a failed removal is retried in the background.
	 *
	 * @param claim - The claim of this host.
	 */
	remove(claim: Claim): Promise<void>;
	/** Waits for background writes to finish; aborting the signal stops their retries. */
	drain(signal: AbortSignal): Promise<void>;
};
