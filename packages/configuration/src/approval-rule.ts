import {getApprovalKind, type Change, type ChangeValue} from './change.js';

/** Bounds within which changes of one field are approved. */
export type ApprovalBounds = {
	readonly subject: string;
	readonly field: string;
	/** Inclusive bounds of a number. */
	readonly lowest?: number;
	readonly highest?: number;
	/** Approved values of a non-numeric field. */
	readonly values?: ReadonlyArray<ChangeValue | null>;
};

/** A stored approval: changes of one kind within its bounds are routine, that is, they need no further approval. */
export type ApprovalRule = {
	/** Approval kind, see {@link getApprovalKind}. */
	readonly kind: string;
	readonly bounds: readonly ApprovalBounds[];
	/** Operator who gave the latest approval. */
	readonly by: string;
	/** Time of the latest approval, in ISO 8601. */
	readonly at: string;
	/** Random version of the rule for optimistic locking; replaced with each approval. */
	readonly token: string;
};

/** Operator, time and new token of an approval. */
export type Decision = Pick<ApprovalRule, 'by' | 'at' | 'token'>;

/**
 * Checks whether a rule covers a change.
 *
 * @param rule - The rule for the change's approval kind, if one exists.
 * @param change - The change.
 * @returns Whether the change lies within the bounds of the rule.
 */
export function isWithinBounds(rule: ApprovalRule | undefined, change: Change): boolean {
	return rule?.bounds.some(bounds => bounds.subject === change.subject && bounds.field === change.field && isCovered(bounds, change)) ?? false;
}

/**
 * Extends a rule so that it covers the given changes. The bounds include the values before and after each change, so that
 * reverting it needs no further approval.
 *
 * @param rule - The existing rule, if there is one.
 * @param changes - Changes of the same approval kind.
 * @param decision - Operator, time and new token.
 * @returns The extended rule.
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
 * Formats the bounds of a rule.
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
