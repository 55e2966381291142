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

/** Wait before an ambiguous write is read back again, in milliseconds; it doubles each time. */
const firstSettleWait = 10;

/** Options of {@link ClaimWriter}. */
export type ClaimWriterOptions = {
	readonly table: TableService;
	readonly budget: WriteBudget;
	readonly holder: ClaimHolder;
	readonly clock: Clock;
	readonly wait: Wait;
	/** Time allowed for settling an ambiguous write, in milliseconds. */
	readonly settleMilliseconds: number;
};

/** What the write of a claim found: no claim before, or one with another token. */
export const ClaimWriteResult = {claimed: 'claimed', present: 'present'} as const;

/** `claimed` or `present`. */
export type ClaimWriteResult = typeof ClaimWriteResult[keyof typeof ClaimWriteResult];

/** Writes claims and settles writes whose response was lost. */
export class ClaimWriter {
	readonly #options: ClaimWriterOptions;
	readonly #ambiguous = new WeakSet<Claim>();

	constructor(options: ClaimWriterOptions) {
		this.#options = options;
	}

	/**
	 * Tells whether a write of a claim got no response. Such a write may take effect later, also after a removal.
	 *
	 * @param claim - The claim.
	 * @returns Whether a response was lost.
	 */
	hasAmbiguousWrite(claim: Claim): boolean {
		return this.#ambiguous.has(claim);
	}

	/**
	 * Writes a claim unless there is one under the same key.
	 *
	 * @param claim - The claim.
	 * @param deadline - Monotonic time at which settling ends.
	 * @returns What was found; or `store-busy` or `store-unavailable`, after which the claim may be in the table only if
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
		for (let milliseconds = firstSettleWait; ; milliseconds *= 2) {
			const read = await table.get(computeItemKey(claim));
			if (read.isOk() && read.value) {
				return ok(decodeClaimItem(read.value).token === claim.token ? ClaimWriteResult.claimed : ClaimWriteResult.present);
			}

			if (clock() >= end) {
				return err(createFailure('store-unavailable'));
			}

			if (read.isOk()) {
				// The lost write failed or is still on its way. One of two writes with the same token takes effect at most.
				budget.draw(1);
				const again = await table.write(buildClaimWrite(claim, holder));
				if (again.isOk()) {
					return ok(ClaimWriteResult.claimed);
				}
			}

			await wait(Math.min(milliseconds, Math.max(1, end - clock())));
		}
	}
}
