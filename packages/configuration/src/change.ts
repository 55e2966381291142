import type {ChangeKind} from './change-kind.js';

/** Value of a field before or after a change. */
export type ChangeValue = string | number | boolean | undefined;

/** One difference between two versions of the answers. */
export type Change = {
	readonly kind: ChangeKind;
	/** The changed object, for example `payments/grant` for work class `grant` of service `payments`. */
	readonly subject: string;
	/** Name of the field, for example `deadlineMilliseconds`. */
	readonly field: string;
	readonly before?: ChangeValue;
	readonly after?: ChangeValue;
	/** Requests or callers that the change affects. */
	readonly affects: string;
	/** Whether the change affects non-idempotent requests, the ones that need an `Idempotency-Key`. */
	readonly isKeyed: boolean;
};

/**
 * Returns the kind under which a change is approved. Changes that affect non-idempotent requests have separate approval
 * kinds, so that an approval given for idempotent requests never covers them.
 *
 * @param change - The change.
 * @returns For example `deadline` or `deadline-keyed`.
 */
export function getApprovalKind({kind, isKeyed}: Pick<Change, 'kind' | 'isKeyed'>): string {
	return isKeyed ? `${kind}-keyed` : kind;
}
