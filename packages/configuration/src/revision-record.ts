import {z} from 'zod';
import type {TableItem} from '@tanagerrail/platform';

/** Shape of an accepted change, in the table and between hosts. */
export const revisionRecordSchema = z.object({
	/** Number of the change, from 1. */
	revision: z.int().min(1),
	/** The answers file as it was applied. */
	answers: z.string(),
	/** Who applied it. */
	by: z.string(),
	/** When, in ISO 8601. */
	at: z.string(),
	/** Random id of the change, by which a lost response is settled. */
	token: z.string(),
	/** Reason in the operator's words. */
	note: z.string(),
});

/** An accepted change. */
export type RevisionRecord = z.output<typeof revisionRecordSchema>;

/** Key of the item that holds the latest accepted change. */
export const currentKey = 'configuration#current';

/** Prefix of the items that hold all accepted changes. */
export const historyPrefix = 'configuration#revision#';

/**
 * Returns the key of an accepted change. The number is padded, so that keys sort in the order of revisions.
 *
 * @param revision - Number of the change.
 * @returns The key.
 */
export function getHistoryKey(revision: number): string {
	return `${historyPrefix}${String(revision).padStart(10, '0')}`;
}

/**
 * Encodes an accepted change as a table item.
 *
 * @param key - Key of the item.
 * @param record - The change.
 * @returns The item.
 */
export function encodeRevision(key: string, record: RevisionRecord): TableItem {
	return {key, attributes: {...record, revision: String(record.revision)}};
}

/**
 * Decodes a table item.
 *
 * @param item - The item.
 * @returns The accepted change; nothing when the item is malformed.
 */
export function decodeRevision({attributes}: TableItem): RevisionRecord | undefined {
	return revisionRecordSchema.safeParse({...attributes, revision: Number(attributes.revision)}).data;
}
