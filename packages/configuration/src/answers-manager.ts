import {randomUUID} from 'node:crypto';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {AnswerProblem} from './answer-problem.js';
import type {Answers} from './answers.js';
import {extendRule, type ApprovalRule} from './approval-rule.js';
import type {HostLimits} from './find-contradictions.js';
import {parseAnswers} from './parse-answers.js';
import {planChange, type Plan} from './plan-change.js';
import type {RevisionRecord} from './revision-record.js';
import type {RelatedApproval, RevisionStore} from './revision-store.js';

/** A plan and the revision on which it is based. */
export type PlanWithBase = Plan & {
	/** Revision that was current when the plan was made; 0 before the first one. */
	readonly base: number;
};

/** Attempts to read the current revision and the approval rules while the table service is unavailable. */
const maximumReadAttempts = 3;

/** A plan with the current revision and the approval rules from which it was computed. */
type PreparedPlan = {readonly plan: PlanWithBase; readonly rules: ApprovalRule[]; readonly current: RevisionRecord | undefined};

/** An operator's request to apply a change. */
export type ApplyRequest = {
	/** Answers file (YAML). */
	readonly answers: string;
	/** Operator who applies the change. */
	readonly by: string;
	/** The operator's reason for the change. */
	readonly note: string;
	/** Revision on which the change is based; defaults to the current one. */
	readonly base?: number;
	/** Approval kinds that the operator approves with this request. */
	readonly approve: readonly string[];
	/** Random id of the change; a retry reuses it. */
	readonly token: string;
};

/** An accepted change and its plan. */
export type AppliedChange = {readonly record: RevisionRecord; readonly plan: PlanWithBase};

/** The reasons why a change was refused. */
export type Refusal = {
	readonly failure: Failure;
	readonly problems?: readonly AnswerProblem[];
	readonly plan?: PlanWithBase;
	/** After a conflict, the change that was accepted instead. */
	readonly otherChange?: {readonly revision: number; readonly by: string; readonly at: string; readonly note: string; readonly changes: readonly string[]};
};

/** Options of {@link AnswersManager}. */
export type AnswersManagerOptions = {
	readonly store: RevisionStore;
	/** Limits of the hosts; answers that exceed them are refused. */
	readonly limits?: HostLimits;
	/** Wall clock for the times in the history, in milliseconds since the epoch. */
	readonly now: () => number;
};

/** Plans and applies changes of the answers. */
export class AnswersManager {
	readonly #store: RevisionStore;
	readonly #now: () => number;
	readonly #limits: HostLimits | undefined;

	constructor({store, limits, now = Date.now}: Partial<AnswersManagerOptions> & Pick<AnswersManagerOptions, 'store'>) {
		this.#store = store;
		this.#now = now;
		this.#limits = limits;
	}

	/**
	 * Plans a change against the current revision.
	 *
	 * @param text - Answers file (YAML).
	 * @returns The plan; `answers-invalid` with all problems, or a failure of the table service.
	 */
	plan(text: string): ResultAsync<PlanWithBase, Refusal> {
		return new ResultAsync(this.#prepare(text)).map(({plan}) => plan);
	}

	/**
	 * Applies a change. At most one change is accepted on top of each revision.
	 *
	 * @param request - The requested change.
	 * @returns The accepted change, or a refusal with `answers-invalid`, `revision-conflict`, `approval-required`,
	 * `approval-conflict` or a failure of the table service.
	 */
	apply(request: ApplyRequest): ResultAsync<AppliedChange, Refusal> {
		return new ResultAsync(this.#apply(request));
	}

	/**
	 * Reverts to the answers of an earlier revision by applying them as a new revision.
	 *
	 * @param revision - Number of the earlier revision.
	 * @param request - The requested change without the answers, which are those of the earlier revision.
	 * @returns The same as {@link apply}, or a refusal with `revision-unknown`.
	 */
	revert(revision: number, request: Omit<ApplyRequest, 'answers'>): ResultAsync<AppliedChange, Refusal> {
		return this.#store.readRevision(revision).mapErr(toRefusal).andThen(({answers}) => this.apply({...request, answers}));
	}

	async #apply(request: ApplyRequest): Promise<Result<AppliedChange, Refusal>> {
		const prepared = await this.#prepare(request.answers);
		if (prepared.isErr()) {
			return err(prepared.error);
		}

		const {plan, rules, current} = prepared.value;
		const base = request.base ?? plan.base;
		if (base !== plan.base) {
			return this.#resolveStaleBase(request, base, {plan, current});
		}

		const missing = plan.needsApproval.filter(kind => !request.approve.includes(kind));
		if (missing.length > 0) {
			return err({failure: createFailure('approval-required', {kinds: missing.join(', ')}), plan});
		}

		const at = new Date(this.#now()).toISOString();
		const {answers, by, note, token} = request;
		const record: RevisionRecord = {
			revision: base + 1, answers, by, at, token, note,
		};
		const approvals = collectApprovals(plan, rules, {by, at, token: randomUUID()});
		const accepted = await this.#store.accept({record, approvals});
		return accepted.isOk() ? ok({record: accepted.value, plan}) : err(await this.#describeRefusal(accepted.error, plan));
	}

	/**
	 * Handles a change that is not based on the current revision. A retry of an accepted change whose response was lost is
	 * recognized by its token and succeeds; any other change is refused as a conflict.
	 */
	async #resolveStaleBase({token}: ApplyRequest, base: number, {plan, current}: {plan: PlanWithBase; current: RevisionRecord | undefined}): Promise<Result<AppliedChange, Refusal>> {
		const next = await this.#store.readRevision(base + 1);
		if (next.isErr() && next.error.id !== 'revision-unknown') {
			return err({failure: next.error, plan});
		}

		if (next.isOk() && next.value.token === token) {
			return ok({record: next.value, plan});
		}

		const other = next.unwrapOr(current!);
		const failure = createFailure('revision-conflict', {revision: other?.revision ?? 0, by: other?.by ?? 'nobody', at: other?.at ?? 'unknown'});
		return err(await this.#describeRefusal(failure, plan));
	}

	async #describeRefusal(failure: Failure, plan: PlanWithBase): Promise<Refusal> {
		const revision = Number(failure.parameters.revision);
		if (failure.id !== 'revision-conflict' || !(revision > 0)) {
			return {failure, plan};
		}

		const other = await this.#store.readRevision(revision);
		const previousRecord = await this.#store.readRevision(revision - 1);
		if (other.isErr()) {
			return {failure, plan};
		}

		const {by, at, note, answers} = other.value;
		const beforeAnswers = previousRecord.isOk() ? parseAnswers(previousRecord.value.answers).unwrapOr(undefined) : undefined;
		const changes = parseAnswers(answers).map(after => planChange(beforeAnswers, after).changes.map(({text}) => text)).unwrapOr([]);
		return {
			failure, plan, otherChange: {
				revision, by, at, note, changes,
			},
		};
	}

	async #prepare(text: string): Promise<Result<PreparedPlan, Refusal>> {
		let prepared = await this.#planAgainstCurrent(text);
		for (let attempt = 1; attempt < maximumReadAttempts && prepared.isErr() && prepared.error.failure.id === 'table-unavailable'; attempt++) {
			prepared = await this.#planAgainstCurrent(text);
		}

		return prepared;
	}

	#planAgainstCurrent(text: string): ResultAsync<PreparedPlan, Refusal> {
		return parseForApply(text, this.#limits).asyncAndThen(next => this.#store.readCurrent().mapErr(toRefusal)
			.andThen(current => readCurrentAnswers(current)
				.asyncAndThen(before => this.#store.listApprovals().mapErr(toRefusal)
					.map(rules => ({plan: {...planChange(before, next, rules), base: current?.revision ?? 0}, rules, current})))));
	}
}

function parseForApply(text: string, limits: HostLimits | undefined): Result<Answers, Refusal> {
	return parseAnswers(text, limits).mapErr(problems => ({
		failure: createFailure('answers-invalid', {reason: `${problems.length} ${problems.length === 1 ? 'problem' : 'problems'}`}), problems,
	}));
}

function readCurrentAnswers(current: RevisionRecord | undefined): Result<Answers | undefined, Refusal> {
	if (!current) {
		return ok(undefined);
	}

	return parseAnswers(current.answers).mapErr(() => toRefusal(createFailure('answers-invalid', {reason: `the answers of revision ${current.revision} are not valid in this version`})));
}

function collectApprovals(plan: Plan, rules: readonly ApprovalRule[], decision: {by: string; at: string; token: string}): RelatedApproval[] {
	const kinds = new Set(plan.changes.filter(({reason, isRoutine}) => reason === 'within-approval' || !isRoutine).map(({approvalKind}) => approvalKind));
	return [...kinds].flatMap((kind): RelatedApproval[] => {
		const before = rules.find(rule => rule.kind === kind);
		const unapproved = plan.changes.filter(change => change.approvalKind === kind && !change.isRoutine);
		const after = unapproved.length > 0 ? extendRule(before, unapproved, decision) : before;
		return after ? [{before, after}] : [];
	});
}

function toRefusal(failure: Failure): Refusal {
	return {failure};
}
