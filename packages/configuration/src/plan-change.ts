import type {Answers} from './answers.js';
import {isWithinBounds, type ApprovalRule} from './approval-rule.js';
import {ChangeKind} from './change-kind.js';
import {formatChange} from './change-messages.js';
import {getApprovalKind, type Change} from './change.js';
import {computeEffects, formatEffect, type Effect} from './compute-effects.js';
import {findChanges} from './find-changes.js';

/** Reasons why a change is routine (applied without approval) or not. */
export const planReasons = {
	'first-revision': 'no configuration is in force yet, so no caller is affected',
	'no-effect': 'the change has no effect on requests',
	'within-answers': 'the answers in force declare the change routine up to {upTo} of the previous value',
	'within-approval': 'the change is within the bounds that {by} approved at {at}',
	'beyond-bounds': 'the change is outside the approved bounds',
	'new-kind': 'no change of this kind has been approved yet',
	'must-not-repeat': 'the change affects requests that must not be repeated and has not been approved yet',
} as const;

/** Id of a reason. */
export type PlanReason = keyof typeof planReasons;

/** One change and whether it is routine. */
export type PlannedChange = Change & {
	/** Message that describes the change. */
	readonly text: string;
	/** Kind under which the change is approved, see {@link getApprovalKind}. */
	readonly approvalKind: string;
	readonly isRoutine: boolean;
	readonly reason: PlanReason;
	/** Message that describes the reason. */
	readonly why: string;
};

/** The changes and effects of new answers. */
export type Plan = {
	readonly changes: readonly PlannedChange[];
	readonly effects: ReadonlyArray<Effect & {readonly text: string}>;
	/** Whether all changes are routine, so that the plan needs no approval. */
	readonly isRoutine: boolean;
	/** Approval kinds that still need an approval, sorted. */
	readonly needsApproval: readonly string[];
};

type RoutineDecision = {readonly isRoutine: boolean; readonly reason: PlanReason; readonly parameters?: Readonly<Record<string, string | number>>};

/**
 * Plans a change of the answers.
 *
 * @param current - The answers in force; `undefined` before the first revision.
 * @param next - The proposed answers.
 * @param rules - The stored approval rules.
 * @returns The changes, their effects on queues and limits, and whether they are routine.
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

function decideRoutine(change: Change, current: Answers, rules: readonly ApprovalRule[]): RoutineDecision {
	if (change.kind === ChangeKind.description) {
		return {isRoutine: true, reason: 'no-effect'};
	}

	const rule = rules.find(({kind}) => kind === getApprovalKind(change));
	if (rule && isWithinBounds(rule, change)) {
		return {isRoutine: true, reason: 'within-approval', parameters: {by: rule.by, at: rule.at}};
	}

	// Only the declarations in force count, so that a change cannot declare itself routine.
	const declared = current.routineChanges.find(({change: kind}) => kind === change.kind);
	if (declared && !change.isKeyed && change.kind !== ChangeKind.routineRules && isWithinRelativeLimit(change, declared.upTo)) {
		return {isRoutine: true, reason: 'within-answers', parameters: {upTo: declared.upTo ?? 'any part'}};
	}

	if (rule ?? (declared && !change.isKeyed)) {
		return {isRoutine: false, reason: 'beyond-bounds'};
	}

	return {isRoutine: false, reason: change.isKeyed ? 'must-not-repeat' : 'new-kind'};
}

function isWithinRelativeLimit({before, after}: Change, upTo: number | undefined): boolean {
	if (upTo === undefined) {
		return true;
	}

	return typeof before === 'number' && typeof after === 'number' && Math.abs(after - before) <= upTo * Math.abs(before);
}

function formatReason(reason: PlanReason, parameters: Readonly<Record<string, string | number>>): string {
	return planReasons[reason].replaceAll(/\{(\w+)\}/gv, (placeholder, name: string) => String(parameters[name] ?? placeholder));
}
