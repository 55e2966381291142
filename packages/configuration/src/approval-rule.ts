import {getApprovalKind, type Change, type ChangeValue} from './change.js';

/** Bounds within which changes of one field were approved. */
export type ApprovalBounds = {
	readonly subject: string;
	readonly field: string;
	/** Inclusive bounds of a number. */
	readonly lowest?: number;
	readonly highest?: number;
	/** Approved values of a field that is not a number. */
	readonly values?: ReadonlyArray<ChangeValue | null>;
};

/** A recorded decision: changes of one kind are routine within its bounds. */
export type ApprovalRule = {
	/** Approval kind, see {@link getApprovalKind}. */
	readonly kind: string;
	readonly bounds: readonly ApprovalBounds[];
	/** Who decided last. */
	readonly by: string;
	/** When, in ISO 8601. */
	readonly at: string;
	/** Changes with each decision, so that two decisions at once are noticed. */
	readonly token: string;
};

/** Who decides and when. */
export type Decision = Pick<ApprovalRule, 'by' | 'at' | 'token'>;

/**
 * Tells whether a rule covers a change.
 *
 * @param rule - The rule, if there is one for the change's kind.
 * @param change - The change.
 * @returns Whether the change lies within its bounds.
 */
export function isWithinBounds(rule: ApprovalRule | undefined, change: Change): boolean {
	return rule?.bounds.some(bounds => bounds.subject === change.subject && bounds.field === change.field && isCovered(bounds, change)) ?? false;
}

/**
 * Extends a rule so that it covers changes of its kind. The bounds span the values before and after, so that going back
 * needs no further decision.
 *
 * @param rule - The rule so far, if there is one.
 * @param changes - Changes of one kind.
 * @param decision - Who decides and when.
 * @returns The rule that covers them.
 */
export function extendRule(rule: ApprovalRule | undefined, changes: readonly Change[], decision: Decision): ApprovalRule {
	const bounds = new Map((rule?.bounds ?? []).map(known => [`${known.subject} ${known.field}`, known]));
	for (const change of changes) {
		const key = `${change.subject} ${change.field}`;
		bounds.set(key, extendBounds(bounds.get(key), change));
	}

	return {kind: rule?.kind ?? getApprovalKind(changes[0]!), bounds: [...bounds.values()], ...decision};
}

/**
 * Describes the bounds of a rule.
 *
 * @param bounds - The bounds.
 * @returns For example `payments/grant deadlineMilliseconds 1000 to 2000`.
 */
export function formatBounds({subject, field, lowest, highest, values}: ApprovalBounds): string {
	return `${subject} ${field} ${values ? values.map(value => String(value ?? 'none')).join(', ') : `${lowest} to ${highest}`}`;
}

function isCovered({lowest, highest, values}: ApprovalBounds, {after}: Change): boolean {
	return typeof after === 'number' && lowest !== undefined && highest !== undefined
		? after >= lowest && after <= highest
		: values?.includes(after ?? null) ?? false;
}

function extendBounds(known: ApprovalBounds | undefined, {subject, field, before, after}: Change): ApprovalBounds {
	if (typeof before === 'number' && typeof after === 'number') {
		return {
			subject, field, lowest: Math.min(known?.lowest ?? after, before, after), highest: Math.max(known?.highest ?? after, before, after),
		};
	}

	return {subject, field, values: [...new Set([...(known?.values ?? []), before ?? null, after ?? null])]};
}
