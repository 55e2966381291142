import {err, ok, type Result} from 'neverthrow';
import type {TableService} from '@tanagerrail/platform';
import {createFailure, type Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import {
	buildClaimWrite, computeItemKey, decodeClaimItem, type ClaimHolder,
} from './claim-item.js';
import type {Claim} from './claim-service.js';
import type {Wait} from './wait.js';
import type {WriteBudget} from './write-budget.js';

const logger = createLogger('claims');

/** Delay before an ambiguous write is read back again, in milliseconds; doubles with each read. */
const initialSettleDelayMilliseconds = 10;

/** Options of {@link ClaimWriter}. */
export type ClaimWriterOptions = {
	readonly table: TableService;
	readonly budget: WriteBudget;
	readonly holder: ClaimHolder;
	readonly clock: Clock;
	readonly wait: Wait;
	/** Time limit for settling an ambiguous write, in milliseconds. */
	readonly settleMilliseconds: number;
};

/** Result of writing a claim: it was written, or a claim with another token is already present. */
export const ClaimWriteResult = {claimed: 'claimed', present: 'present'} as const;

/** `claimed` or `present`. */
export type ClaimWriteResult = typeof ClaimWriteResult[keyof typeof ClaimWriteResult];

/**
 * Writes claims. A write whose response was lost is ambiguous: it may or may not have taken effect. The writer settles
 * it, that is, reads the item back, and writes it again while it is absent, until the result is known or time is up.
 */
export class ClaimWriter {
	readonly #options: ClaimWriterOptions;
	readonly #ambiguous = new WeakSet<Claim>();

	constructor(options: ClaimWriterOptions) {
		this.#options = options;
	}

	/**
	 * Checks whether a write of a claim got no response. Such a write may take effect later, even after a removal.
	 *
	 * @param claim - The claim.
	 * @returns Whether the claim has an ambiguous write.
	 */
	hasAmbiguousWrite(claim: Claim): boolean {
		return this.#ambiguous.has(claim);
	}

	/**
	 * Writes a claim unless one exists under the same key.
	 *
	 * @param claim - The claim.
	 * @param deadline - Monotonic time at which settling ends.
	 * @returns The result; or `store-busy` or `store-unavailable`, after which the claim may be in the table only if
	 * its write was ambiguous.
	 */
	async write(claim: Claim, deadline: number): Promise<Result<ClaimWriteResult, Failure>> {
		const {table, holder} = this.#options;
		const written = await table.write(buildClaimWrite(claim, holder));
		if (written.isOk()) {
			return ok(ClaimWriteResult.claimed);
		}

		const {id} = written.error;
		if (id === 'table-condition-failed') {
			return ok(ClaimWriteResult.present);
		}

		if (id !== 'table-ambiguous') {
			return err(createFailure(id === 'table-throttled' ? 'store-busy' : 'store-unavailable'));
		}

		this.#ambiguous.add(claim);
		const settled = await this.#settle(claim, deadline);
		logger.log(LogLevel.info, 'claim-settled', {service: claim.service, result: settled.unwrapOr('unknown')});
		return settled;
	}

	async #settle(claim: Claim, deadline: number): Promise<Result<ClaimWriteResult, Failure>> {
		const {table, budget, holder, clock, wait, settleMilliseconds} = this.#options;
		const end = Math.min(deadline, clock() + settleMilliseconds);
		for (let delayMilliseconds = initialSettleDelayMilliseconds; ; delayMilliseconds *= 2) {
			const read = await table.get(computeItemKey(claim));
			if (read.isOk() && read.value) {
				return ok(decodeClaimItem(read.value).token === claim.token ? ClaimWriteResult.claimed : ClaimWriteResult.present);
			}

			if (clock() >= end) {
				return err(createFailure('store-unavailable'));
			}

			if (read.isOk()) {
				// The write failed or is still in flight. It is safe to send it again: at most one of the two writes takes effect.
				budget.take(1);
				const rewritten = await table.write(buildClaimWrite(claim, holder));
				if (rewritten.isOk()) {
					return ok(ClaimWriteResult.claimed);
				}
			}

			await wait(Math.min(delayMilliseconds, Math.max(1, end - clock())));
		}
	}
}
