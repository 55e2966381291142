import {z} from 'zod';
import type {TableItem} from '@tanagerrail/platform';
import type {ApprovalRule} from './approval-rule.js';

/** Key prefix of the table items that hold approval rules. */
export const approvalPrefix = 'approval#';

const boundsSchema = z.array(z.object({
	subject: z.string(),
	field: z.string(),
	lowest: z.number().optional(),
	highest: z.number().optional(),
	values: z.array(z.union([z.string(), z.number(), z.boolean(), z.null()])).optional(),
}));

/**
 * Encodes an approval rule as a table item.
 *
 * @param rule - The rule.
 * @returns The item.
 */
export function encodeApproval({kind, bounds, ...decision}: ApprovalRule): TableItem {
	return {key: `${approvalPrefix}${kind}`, attributes: {...decision, bounds: JSON.stringify(bounds)}};
}

/**
 * Decodes a table item.
 *
 * @param item - The table item.
 * @returns The rule, or `undefined` if the item is malformed; changes of its kind then need a new approval.
 */
export function decodeApproval({key, attributes}: TableItem): ApprovalRule | undefined {
	const {bounds, by, at, token} = attributes;
	if (bounds === undefined || by === undefined || at === undefined || token === undefined) {
		return undefined;
	}

	const parsed = boundsSchema.safeParse(parseJson(bounds));
	return parsed.success
		? {
			kind: key.slice(approvalPrefix.length), bounds: parsed.data, by, at, token,
		}
		: undefined;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
