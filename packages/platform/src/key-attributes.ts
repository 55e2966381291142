/** Primary key of an item in the DynamoDB protocol: `kind` is the partition key, `key` the sort key. */
export type KeyAttributes = {readonly kind: {readonly S: string}; readonly key: {readonly S: string}};

/**
 * Builds the primary key of an item. The part before the first `#` is the partition key, so that items of one kind can
 * be listed with a query instead of a scan of the whole table.
 *
 * @param key - Key of the item, for example `configuration#current`.
 * @returns Partition key and sort key in the form of the DynamoDB protocol.
 */
export function buildKeyAttributes(key: string): KeyAttributes {
	return {kind: {S: key.split('#', 1)[0]!}, key: {S: key}};
}
