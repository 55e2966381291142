import type {Answers} from './answers.js';
import {isWithinBounds, type ApprovalRule} from './approval-rule.js';
import {ChangeKind} from './change-kind.js';
import {formatChange} from './change-messages.js';
import {getApprovalKind, type Change} from './change.js';
import {computeEffects, formatEffect, type Effect} from './compute-effects.js';
import {findChanges} from './find-changes.js';

/** Why a change is routine or not. */
export const planReasons = {
	'first-revision': 'nothing is in force yet, so nobody is affected',
	'no-effect': 'no request is treated differently',
	'within-answers': 'the answers in force declare it routine up to {upTo} of the former value',
	'within-approval': 'it lies within the bounds that {by} approved at {at}',
	'beyond-bounds': 'it lies outside the approved bounds',
	'new-kind': 'no change of this kind has been approved yet',
	'must-not-repeat': 'it touches work that must not repeat and has not been approved yet',
} as const;

/** Id of a reason. */
export type PlanReason = keyof typeof planReasons;

/** One change with the decision about it. */
export type PlannedChange = Change & {
	/** The change in plain words. */
	readonly text: string;
	/** Kind under which it is approved. */
	readonly approvalKind: string;
	readonly isRoutine: boolean;
	readonly reason: PlanReason;
	/** The reason in plain words. */
	readonly why: string;
};

/** What a set of answers would change. */
export type Plan = {
	readonly changes: readonly PlannedChange[];
	readonly effects: ReadonlyArray<Effect & {readonly text: string}>;
	/** Whether it is applied without asking. */
	readonly isRoutine: boolean;
	/** Kinds that have to be approved, sorted. */
	readonly needsApproval: readonly string[];
};

type Verdict = {readonly isRoutine: boolean; readonly reason: PlanReason; readonly parameters?: Readonly<Record<string, string | number>>};

/**
 * Plans a change of the answers.
 *
 * @param current - The answers in force; nothing before the first revision.
 * @param next - The proposed answers.
 * @param rules - Recorded approvals.
 * @returns What changes and for whom, what it does to queues and limits, and whether it is routine.
 */
export function planChange(current: Answers | undefined, next: Answers, rules: readonly ApprovalRule[] = []): Plan {
	const changes = findChanges(current ?? {...next, services: []}, next).map(change => {
		const {isRoutine, reason, parameters = {}} = current ? decideRoutine(change, current, rules) : {isRoutine: true, reason: 'first-revision' as const};
		return {
			...change, text: formatChange(change), approvalKind: getApprovalKind(change), isRoutine, reason, why: formatReason(reason, parameters),
		};
	});
	const needsApproval = [...new Set(changes.filter(({isRoutine}) => !isRoutine).map(({approvalKind}) => approvalKind))].sort();
	return {
		changes, effects: computeEffects(current, next).map(effect => ({...effect, text: formatEffect(effect)})), isRoutine: needsApproval.length === 0, needsApproval,
	};
}

function decideRoutine(change: Change, current: Answers, rules: readonly ApprovalRule[]): Verdict {
	if (change.kind === ChangeKind.description) {
		return {isRoutine: true, reason: 'no-effect'};
	}

	const rule = rules.find(({kind}) => kind === getApprovalKind(change));
	if (rule && isWithinBounds(rule, change)) {
		return {isRoutine: true, reason: 'within-approval', parameters: {by: rule.by, at: rule.at}};
	}

	// The declaration in force decides, so that a change cannot declare itself routine.
	const declared = current.routineChanges.find(({change: kind}) => kind === change.kind);
	if (declared && !change.isKeyed && change.kind !== ChangeKind.routineRules && isSmall(change, declared.upTo)) {
		return {isRoutine: true, reason: 'within-answers', parameters: {upTo: declared.upTo ?? 'any part'}};
	}

	if (rule ?? (declared && !change.isKeyed)) {
		return {isRoutine: false, reason: 'beyond-bounds'};
	}

	return {isRoutine: false, reason: change.isKeyed ? 'must-not-repeat' : 'new-kind'};
}

function isSmall({before, after}: Change, upTo: number | undefined): boolean {
	if (upTo === undefined) {
		return true;
	}

	return typeof before === 'number' && typeof after === 'number' && Math.abs(after - before) <= upTo * Math.abs(before);
}

function formatReason(reason: PlanReason, parameters: Readonly<Record<string, string | number>>): string {
	return planReasons[reason].replaceAll(/\{(\w+)\}/gv, (placeholder, name: string) => String(parameters[name] ?? placeholder));
}
