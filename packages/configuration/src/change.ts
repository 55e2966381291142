import type {ChangeKind} from './change-kind.js';

/** Value of a field before or after a change. */
export type ChangeValue = string | number | boolean | undefined;

/** One difference between two sets of answers. */
export type Change = {
	readonly kind: ChangeKind;
	/** What changes, for example `payments/grant`. */
	readonly subject: string;
	/** Name of the field, for example `deadlineMilliseconds`. */
	readonly field: string;
	readonly before?: ChangeValue;
	readonly after?: ChangeValue;
	/** Whose requests it concerns. */
	readonly affects: string;
	/** Whether it touches work that must not repeat. */
	readonly isKeyed: boolean;
};

/**
 * Returns the kind under which a change is approved. Work that must not repeat has kinds of its own, so that an approval
 * given for other work never covers it.
 *
 * @param change - The change.
 * @returns For example `deadline` or `deadline-keyed`.
 */
export function getApprovalKind({kind, isKeyed}: Pick<Change, 'kind' | 'isKeyed'>): string {
	return isKeyed ? `${kind}-keyed` : kind;
}
