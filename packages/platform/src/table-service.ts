import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** An item of the table: a key and string attributes. */
export type TableItem = {
	readonly key: string;
	readonly attributes: Readonly<Record<string, string>>;
	/** Seconds since the epoch after which the table may delete the item. */
	readonly expiresAtSeconds?: number;
};

/** Condition of a write, checked by the table in the same step as the write. */
export type TableCondition =
	| {readonly kind: 'none'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'equals'; readonly attribute: string; readonly value: string};

/** One write of an item, or its deletion. */
export type TableWrite =
	| {readonly kind: 'put'; readonly item: TableItem; readonly condition: TableCondition}
	| {readonly kind: 'delete'; readonly key: string; readonly condition: TableCondition};

/**
 * The platform's transactional table service. Failures:
 * `table-condition-failed` (not written), `table-throttled` (not written), `table-unavailable` (not written),
 * `table-ambiguous` (a write that may have taken effect; the caller settles it by reading back).
 */
export type TableService = {
	/** Reads one item consistently. */
	get(key: string): ResultAsync<TableItem | undefined, Failure>;
	/** Writes one item or deletes it. */
	write(write: TableWrite): ResultAsync<void, Failure>;
	/** Applies all writes or none. */
	transact(writes: readonly TableWrite[]): ResultAsync<void, Failure>;
	/** Lists the items whose key begins with a prefix, in key order. */
	list(prefix: string): ResultAsync<TableItem[], Failure>;
	close(): void;
};
