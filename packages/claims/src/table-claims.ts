import {randomUUID} from 'node:crypto';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {checkInvariant, createLogger, LogLevel} from '@tanagerrail/telemetry';
import {BackgroundWrites} from './background-writes.js';
import {
	buildOutcomeWrite, buildRemoval, computeItemKey, decodeClaimItem,
} from './claim-item.js';
import type {
	Claim, ClaimKey, ClaimResult, ClaimService, StoredOutcome,
} from './claim-service.js';
import {ClaimWriter, ClaimWriteResult} from './claim-writer.js';
import {loadOutcome, storeBody} from './outcome-bodies.js';
import {defaultTableClaimsOptions, type TableClaimsOptions} from './table-claims-options.js';
import {WriteBudget, writesPerRequest} from './write-budget.js';

const logger = createLogger('claims');

/** A claim attempt in progress. */
type Attempt = {
	/** Monotonic time at which the caller no longer waits. */
	readonly deadline: number;
	/** What the caller is told when the deadline passes now. */
	failure: Failure;
};

/**
 * At-most-once execution by conditional writes in the table. A claim without an outcome is never taken over, so a host
 * that was paused or lost its link to the table can at worst leave a claim whose outcome stays unknown.
 */
export class TableClaims implements ClaimService {
	readonly #options: TableClaimsOptions;
	readonly #budget: WriteBudget;
	readonly #writer: ClaimWriter;
	readonly #background: BackgroundWrites;
	/** Claims whose request may have run. */
	readonly #sent = new WeakSet<Claim>();
	readonly #removed = new WeakSet<Claim>();

	constructor(options: Partial<TableClaimsOptions> & Pick<TableClaimsOptions, 'table' | 'objects' | 'host' | 'incarnation' | 'getWriteRate'>) {
		this.#options = {...defaultTableClaimsOptions, ...options};
		const {
			table, host, incarnation, clock, wait, settleMilliseconds, getWriteRate, firstRepeatMilliseconds, longestRepeatMilliseconds,
		} = this.#options;
		this.#budget = new WriteBudget({clock, getWriteRate});
		this.#writer = new ClaimWriter({
			table, budget: this.#budget, holder: {host, incarnation}, clock, wait, settleMilliseconds,
		});
		this.#background = new BackgroundWrites({wait, firstWaitMilliseconds: firstRepeatMilliseconds, longestWaitMilliseconds: longestRepeatMilliseconds});
	}

	claim(key: ClaimKey, remainingMilliseconds: number): ResultAsync<ClaimResult, Failure> {
		return new ResultAsync(this.#claimInTime(key, remainingMilliseconds));
	}

	recordDispatch(claim: Claim): boolean {
		const isFirst = !this.#sent.has(claim) && !this.#removed.has(claim);
		checkInvariant(isFirst, 'claim-dispatched-once', () => `a request of service ${claim.service} was to be sent again`);
		this.#sent.add(claim);
		return isFirst;
	}

	recordNotRun(claim: Claim): void {
		this.#sent.delete(claim);
	}

	async finish(claim: Claim, outcome: StoredOutcome): Promise<void> {
		const {wait, finishWaitMilliseconds} = this.#options;
		const timer = new AbortController();
		const attempt = this.#createOutcomeAttempt(claim, outcome);
		await Promise.race([
			this.#background.run({bytes: outcome.body.length, attempt: this.#limitRepetitions(attempt)}),
			wait(finishWaitMilliseconds, timer.signal),
		]);
		timer.abort();
	}

	async remove(claim: Claim): Promise<void> {
		const mayHaveRun = this.#sent.has(claim);
		checkInvariant(!mayHaveRun, 'claim-removed-unsent', () => `the claim of a sent request of service ${claim.service} was to be removed`);
		if (mayHaveRun) {
			return;
		}

		this.#removed.add(claim);
		const attempt = this.#limitRepetitions(async () => this.#tryRemoval(claim));
		await this.#background.run({bytes: 0, attempt: this.#writer.hasAmbiguousWrite(claim) ? this.#createLateRemoval(claim, attempt) : attempt});
	}

	async drain(signal: AbortSignal): Promise<void> {
		await this.#background.drain(signal);
	}

	async #claimInTime(key: ClaimKey, remainingMilliseconds: number): Promise<Result<ClaimResult, Failure>> {
		const {clock, wait} = this.#options;
		const attempt: Attempt = {deadline: clock() + remainingMilliseconds, failure: createFailure('store-unavailable')};
		const timer = new AbortController();
		const claiming = this.#claim(key, attempt);
		const waiting = async () => {
			await wait(remainingMilliseconds, timer.signal);
		};

		const result = await Promise.race([claiming, waiting()]);
		timer.abort();
		if (result) {
			return result;
		}

		void this.#background.run({bytes: 0, attempt: async () => this.#removeUnused(claiming)});
		return err(attempt.failure);
	}

	/** Removes a claim that was made after its caller had been refused. */
	async #removeUnused(claiming: Promise<Result<ClaimResult, Failure>>): Promise<boolean> {
		const late = await claiming;
		if (late.isOk() && late.value.kind === 'claimed') {
			void this.remove(late.value.claim);
		}

		return true;
	}

	async #claim(key: ClaimKey, attempt: Attempt): Promise<Result<ClaimResult, Failure>> {
		for (;;) {
			attempt.failure = createFailure('store-unavailable');
			const claim: Claim = {...key, token: randomUUID()};
			const written = await this.#write(claim, attempt.deadline);
			if (written.isErr()) {
				return err(written.error);
			}

			if (written.value === ClaimWriteResult.claimed) {
				return ok({kind: 'claimed', claim});
			}

			attempt.failure = createFailure('outcome-unknown');
			const found = await this.#waitForOutcome(key, attempt.deadline);
			if (found) {
				return found;
			}
		}
	}

	async #write(claim: Claim, deadline: number): Promise<Result<ClaimWriteResult, Failure>> {
		const {clock, maximumWaitingWrites, maximumWaitingBytes} = this.#options;
		const {waiting, bytes} = this.#background;
		if (clock() >= deadline || waiting >= maximumWaitingWrites || bytes >= maximumWaitingBytes) {
			return err(createFailure('store-unavailable'));
		}

		if (!this.#budget.take(writesPerRequest)) {
			return err(createFailure('store-busy'));
		}

		const written = await this.#writer.write(claim, deadline);
		const isClaimed = written.isOk() && written.value === ClaimWriteResult.claimed;
		if (isClaimed) {
			return written;
		}

		if (this.#writer.hasAmbiguousWrite(claim)) {
			void this.remove(claim);
		} else {
			this.#budget.restore(written.isOk() ? 1 : writesPerRequest);
		}

		return written;
	}

	/** Waits for the outcome of a claim; nothing when the claim is gone, so that the request can be claimed anew. */
	async #waitForOutcome(key: ClaimKey, deadline: number): Promise<Result<ClaimResult, Failure> | undefined> {
		const {table, objects, clock, wait, firstPollMilliseconds, longestPollMilliseconds} = this.#options;
		for (let milliseconds = firstPollMilliseconds; ; milliseconds = Math.min(longestPollMilliseconds, milliseconds * 2)) {
			const read = await table.get(computeItemKey(key));
			if (read.isOk()) {
				if (!read.value) {
					return undefined;
				}

				const {fingerprint, outcome} = decodeClaimItem(read.value);
				if (fingerprint !== key.fingerprint) {
					return err(createFailure('key-reused'));
				}

				const loaded = outcome && await loadOutcome(objects, outcome);
				if (loaded?.isOk()) {
					return ok({kind: 'done', outcome: loaded.value});
				}
			}

			const left = deadline - clock();
			if (left <= 0) {
				return err(createFailure('outcome-unknown'));
			}

			await wait(Math.min(milliseconds, left));
		}
	}

	/** The first attempt uses the write that was reserved with the claim; each repetition takes one of the budget. */
	#limitRepetitions(attempt: () => Promise<boolean>): () => Promise<boolean> {
		let isFirst = true;
		return async () => {
			if (!isFirst && !this.#budget.take(1)) {
				return false;
			}

			isFirst = false;
			return attempt();
		};
	}

	#createOutcomeAttempt(claim: Claim, outcome: StoredOutcome): () => Promise<boolean> {
		const {table, objects, host, incarnation, now} = this.#options;
		return async () => {
			const stored = await storeBody(objects, claim, outcome);
			const written = await stored.match(
				async value => table.write(buildOutcomeWrite(claim, value, {host, incarnation, now: now()})),
				async failure => err(failure),
			);
			if (written.isOk()) {
				return true;
			}

			const isLost = written.error.id === 'table-condition-failed';
			checkInvariant(!isLost, 'claim-kept', () => `the claim of a request of service ${claim.service} is gone before its outcome was stored`);
			logger.logFailure(LogLevel.warn, 'outcome-write-failed', stripKey(written.error), {service: claim.service});
			return isLost;
		};
	}

	async #tryRemoval(claim: Claim): Promise<boolean> {
		const removed = await this.#options.table.write(buildRemoval(claim));
		if (removed.isOk() || removed.error.id === 'table-condition-failed') {
			return true;
		}

		logger.logFailure(LogLevel.warn, 'claim-removal-failed', stripKey(removed.error), {service: claim.service});
		return false;
	}

	/** Repeats a removal until a claim write without a response can no longer take effect. Reads cost less than writes. */
	#createLateRemoval(claim: Claim, attempt: () => Promise<boolean>): () => Promise<boolean> {
		const {table, clock, lateWriteMilliseconds} = this.#options;
		const end = clock() + lateWriteMilliseconds;
		return async () => {
			const isLast = clock() >= end;
			const read = await table.get(computeItemKey(claim));
			if (read.isErr()) {
				return false;
			}

			const isPresent = read.value !== undefined && decodeClaimItem(read.value).token === claim.token;
			return isPresent ? (await attempt() && isLast) : isLast;
		};
	}
}

/** Keys of requests are not logged. */
function stripKey({id, parameters}: Failure): Failure {
	return createFailure(id, {...parameters, ...('key' in parameters ? {key: '(not logged)'} : {})});
}
