import {z} from 'zod';
import type {TableItem} from '@tanagerrail/platform';

/** Schema of an accepted change, as stored in the table and exchanged between hosts. */
export const revisionRecordSchema = z.object({
	/** Revision number, from 1. */
	revision: z.int().min(1),
	/** Content of the applied answers file (YAML). */
	answers: z.string(),
	/** Operator who applied the change. */
	by: z.string(),
	/** Time of the change, in ISO 8601. */
	at: z.string(),
	/** Random id of the change; shows after a lost response whether this change or another one was accepted. */
	token: z.string(),
	/** The operator's reason for the change. */
	note: z.string(),
});

/** An accepted change. */
export type RevisionRecord = z.output<typeof revisionRecordSchema>;

/** Key of the item that holds the latest accepted change. */
export const currentKey = 'configuration#current';

/** Key prefix of the items that hold all accepted changes. */
export const historyPrefix = 'configuration#revision#';

/**
 * Returns the key of an accepted change. The number is zero-padded, so that keys sort in order of revisions.
 *
 * @param revision - Revision number of the change.
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
 * @param item - The table item.
 * @returns The accepted change, or `undefined` if the item is malformed.
 */
export function decodeRevision({attributes}: TableItem): RevisionRecord | undefined {
	return revisionRecordSchema.safeParse({...attributes, revision: Number(attributes.revision)}).data;
}
