import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** An item of the table: a key and string attributes. */
export type TableItem = {
	readonly key: string;
	readonly attributes: Readonly<Record<string, string>>;
	/** Unix time in seconds after which the table may delete the item. */
	readonly expiresAtSeconds?: number;
};

/** Condition of a write, which the table checks atomically with the write. */
export type TableCondition =
	| {readonly kind: 'none'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'equals'; readonly attribute: string; readonly value: string};

/** Puts or deletes one item. */
export type TableWrite =
	| {readonly kind: 'put'; readonly item: TableItem; readonly condition: TableCondition}
	| {readonly kind: 'delete'; readonly key: string; readonly condition: TableCondition};

/**
 * The platform's transactional table service. Failures:
 * `table-condition-failed` (not written), `table-throttled` (not written), `table-unavailable` (not written),
 * `table-ambiguous` (the write may have taken effect; the caller reads the item to find out).
 */
export type TableService = {
	/** Reads one item with strong consistency. */
	get(key: string): ResultAsync<TableItem | undefined, Failure>;
	/** Puts or deletes one item. */
	write(write: TableWrite): ResultAsync<void, Failure>;
	/** Applies all writes atomically. */
	transact(writes: readonly TableWrite[]): ResultAsync<void, Failure>;
	/** Lists the items whose key begins with a prefix, in key order. */
	list(prefix: string): ResultAsync<TableItem[], Failure>;
	close(): void;
};
