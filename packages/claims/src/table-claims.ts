import {randomUUID} from 'node:crypto';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {checkInvariant, createLogger, LogLevel} from '@tanagerrail/telemetry';
import {BackgroundWrites} from './background-writes.js';
import {
	buildOutcomeWrite, buildRemovalWrite, computeItemKey, decodeClaimItem,
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
	/** Failure that the caller gets if the deadline passes now. */
	failure: Failure;
};

/**
 * At-most-once execution based on conditional writes to the table. A claim without an outcome is never taken over by
 * another host, so a host that was paused or lost its connection to the table can at worst leave behind a claim whose
 * outcome stays unknown.
 */
export class TableClaims implements ClaimService {
	readonly #options: TableClaimsOptions;
	readonly #budget: WriteBudget;
	readonly #writer: ClaimWriter;
	readonly #background: BackgroundWrites;
	/** Claims whose request was dispatched and may have run. */
	readonly #dispatched = new WeakSet<Claim>();
	readonly #removed = new WeakSet<Claim>();

	constructor(options: Partial<TableClaimsOptions> & Pick<TableClaimsOptions, 'table' | 'objects' | 'host' | 'incarnation' | 'getWriteRate'>) {
		this.#options = {...defaultTableClaimsOptions, ...options};
		const {
			table, host, incarnation, clock, wait, settleMilliseconds, getWriteRate, initialRetryDelayMilliseconds, maximumRetryDelayMilliseconds,
		} = this.#options;
		this.#budget = new WriteBudget({clock, getWriteRate});
		this.#writer = new ClaimWriter({
			table, budget: this.#budget, holder: {host, incarnation}, clock, wait, settleMilliseconds,
		});
		this.#background = new BackgroundWrites({wait, initialDelayMilliseconds: initialRetryDelayMilliseconds, maximumDelayMilliseconds: maximumRetryDelayMilliseconds});
	}

	claim(key: ClaimKey, remainingMilliseconds: number): ResultAsync<ClaimResult, Failure> {
		return new ResultAsync(this.#claimBeforeDeadline(key, remainingMilliseconds));
	}

	recordDispatch(claim: Claim): boolean {
		const isFirst = !this.#dispatched.has(claim) && !this.#removed.has(claim);
		checkInvariant(isFirst, 'claim-dispatched-once', () => `a request of service ${claim.service} was about to be dispatched although it may have run or its claim was removed`);
		this.#dispatched.add(claim);
		return isFirst;
	}

	recordNotRun(claim: Claim): void {
		this.#dispatched.delete(claim);
	}

	async storeOutcome(claim: Claim, outcome: StoredOutcome): Promise<void> {
		const {wait, outcomeWriteWaitMilliseconds} = this.#options;
		const timer = new AbortController();
		const attempt = this.#createOutcomeAttempt(claim, outcome);
		await Promise.race([
			this.#background.run({bytes: outcome.body.length, attempt: this.#limitRetries(attempt)}),
			wait(outcomeWriteWaitMilliseconds, timer.signal),
		]);
		timer.abort();
	}

	async remove(claim: Claim): Promise<void> {
		const mayHaveRun = this.#dispatched.has(claim);
		checkInvariant(!mayHaveRun, 'claim-removed-unsent', () => `the claim of a dispatched request of service ${claim.service} was about to be removed`);
		if (mayHaveRun) {
			return;
		}

		this.#removed.add(claim);
		const attempt = this.#limitRetries(async () => this.#tryRemoval(claim));
		await this.#background.run({bytes: 0, attempt: this.#writer.hasAmbiguousWrite(claim) ? this.#createRemovalAfterAmbiguousWrite(claim, attempt) : attempt});
	}

	async drain(signal: AbortSignal): Promise<void> {
		await this.#background.drain(signal);
	}

	async #claimBeforeDeadline(key: ClaimKey, remainingMilliseconds: number): Promise<Result<ClaimResult, Failure>> {
		const {clock, wait} = this.#options;
		const attempt: Attempt = {deadline: clock() + remainingMilliseconds, failure: createFailure('store-unavailable')};
		const timer = new AbortController();
		const pendingClaim = this.#claim(key, attempt);
		const waitForDeadline = async () => {
			await wait(remainingMilliseconds, timer.signal);
		};

		const result = await Promise.race([pendingClaim, waitForDeadline()]);
		timer.abort();
		if (result) {
			return result;
		}

		void this.#background.run({bytes: 0, attempt: async () => this.#removeUnusedClaim(pendingClaim)});
		return err(attempt.failure);
	}

	/** Removes a claim that was made after the request had already been refused. */
	async #removeUnusedClaim(pendingClaim: Promise<Result<ClaimResult, Failure>>): Promise<boolean> {
		const late = await pendingClaim;
		if (late.isOk() && late.value.kind === 'claimed') {
			void this.remove(late.value.claim);
		}

		return true;
	}

	async #claim(key: ClaimKey, attempt: Attempt): Promise<Result<ClaimResult, Failure>> {
		for (;;) {
			attempt.failure = createFailure('store-unavailable');
			const claim: Claim = {...key, token: randomUUID()};
			const written = await this.#writeClaim(claim, attempt.deadline);
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

	async #writeClaim(claim: Claim, deadline: number): Promise<Result<ClaimWriteResult, Failure>> {
		const {clock, maximumRetryingWrites, maximumPendingBytes} = this.#options;
		const {retryingCount, pendingBytes} = this.#background;
		if (clock() >= deadline || retryingCount >= maximumRetryingWrites || pendingBytes >= maximumPendingBytes) {
			return err(createFailure('store-unavailable'));
		}

		if (!this.#budget.tryTake(writesPerRequest)) {
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

	/** Waits for the outcome of a claim; resolves to `undefined` if the claim was removed, so that the request can be claimed again. */
	async #waitForOutcome(key: ClaimKey, deadline: number): Promise<Result<ClaimResult, Failure> | undefined> {
		const {table, objects, clock, wait, initialPollDelayMilliseconds, maximumPollDelayMilliseconds} = this.#options;
		for (let delayMilliseconds = initialPollDelayMilliseconds; ; delayMilliseconds = Math.min(maximumPollDelayMilliseconds, delayMilliseconds * 2)) {
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

			const remaining = deadline - clock();
			if (remaining <= 0) {
				return err(createFailure('outcome-unknown'));
			}

			await wait(Math.min(delayMilliseconds, remaining));
		}
	}

	/** Takes a token of the write budget for each retry. The first attempt uses the token taken with that of the claim. */
	#limitRetries(attempt: () => Promise<boolean>): () => Promise<boolean> {
		let isFirst = true;
		return async () => {
			if (!isFirst && !this.#budget.tryTake(1)) {
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

			const isClaimMissing = written.error.id === 'table-condition-failed';
			checkInvariant(!isClaimMissing, 'claim-kept', () => `the claim of a request of service ${claim.service} was removed before its outcome was stored`);
			logger.logFailure(LogLevel.warn, 'outcome-write-failed', stripKey(written.error), {service: claim.service});
			return isClaimMissing;
		};
	}

	async #tryRemoval(claim: Claim): Promise<boolean> {
		const removed = await this.#options.table.write(buildRemovalWrite(claim));
		if (removed.isOk() || removed.error.id === 'table-condition-failed') {
			return true;
		}

		logger.logFailure(LogLevel.warn, 'claim-removal-failed', stripKey(removed.error), {service: claim.service});
		return false;
	}

	/**
	 * Creates a removal that is retried until a claim write without a response can no longer take effect. It reads first and
	 * deletes only what it finds, since reads cost less than writes.
	 */
	#createRemovalAfterAmbiguousWrite(claim: Claim, attempt: () => Promise<boolean>): () => Promise<boolean> {
		const {table, clock, lateWriteMilliseconds} = this.#options;
		const lastAttemptAt = clock() + lateWriteMilliseconds;
		return async () => {
			const isLast = clock() >= lastAttemptAt;
			const read = await table.get(computeItemKey(claim));
			if (read.isErr()) {
				return false;
			}

			const isPresent = read.value !== undefined && decodeClaimItem(read.value).token === claim.token;
			return isPresent ? (await attempt() && isLast) : isLast;
		};
	}
}

/** Removes the key of the request from a failure, since keys are not logged. */
function stripKey({id, parameters}: Failure): Failure {
	return createFailure(id, {...parameters, ...('key' in parameters ? {key: '(not logged)'} : {})});
}
