/** A value of the DynamoDB JSON protocol, for example `{S: 'text'}`. */
export type AttributeValue = {readonly S?: string; readonly N?: string; readonly M?: Readonly<Record<string, AttributeValue>>};

/** An item of the DynamoDB JSON protocol. */
export type StandInItem = Readonly<Record<string, AttributeValue>>;

/** A conditional put or delete. */
export type ConditionalWrite = {
	readonly Item?: StandInItem;
	readonly Key?: StandInItem;
	readonly ConditionExpression?: string;
	readonly ExpressionAttributeNames?: Readonly<Record<string, string>>;
	readonly ExpressionAttributeValues?: Readonly<Record<string, AttributeValue>>;
};

const absentPattern = /^attribute_not_exists\((?<path>#\w+)\)$/v;
const equalsPattern = /^(?<path>#\w+(?:\.#\w+)*) = (?<value>:\w+)$/v;

/** Thrown for a condition expression that the stand-in does not support. */
export class UnsupportedExpressionError extends Error {}

/** Items of a table with partition key `kind` and sort key `key`. */
export class TableItems {
	readonly #items = new Map<string, StandInItem>();

	/**
	 * Finds an item.
	 *
	 * @param key - Attributes of the primary key.
	 * @returns The item, or undefined if there is none.
	 */
	find(key: StandInItem): StandInItem | undefined {
		return this.#items.get(computeItemId(key));
	}

	/**
	 * Checks the condition of a write.
	 *
	 * @param write - The write.
	 * @returns Whether the condition holds.
	 * @throws UnsupportedExpressionError if the condition expression is not supported.
	 */
	check(write: ConditionalWrite): boolean {
		const {ConditionExpression: expression, ExpressionAttributeNames: names = {}, ExpressionAttributeValues: values = {}} = write;
		if (expression === undefined) {
			return true;
		}

		const item = this.find(write.Item ?? write.Key ?? {});
		const absent = absentPattern.exec(expression);
		if (absent) {
			return item?.[names[absent.groups!.path!] ?? ''] === undefined;
		}

		const equals = equalsPattern.exec(expression);
		if (!equals) {
			throw new UnsupportedExpressionError(expression);
		}

		const {path = '', value = ''} = equals.groups ?? {};
		const found = findValue({M: item ?? {}}, path.split('.').map(part => names[part] ?? ''));
		return found?.S !== undefined && found.S === values[value]?.S;
	}

	/**
	 * Applies a write whose condition holds.
	 *
	 * @param write - The write.
	 */
	apply({Item: item, Key: key = {}}: ConditionalWrite): void {
		if (item) {
			this.#items.set(computeItemId(item), item);
			return;
		}

		this.#items.delete(computeItemId(key));
	}

	/**
	 * Lists the items of a partition.
	 *
	 * @param kind - Value of the partition key.
	 * @param prefix - Prefix of the sort keys.
	 * @param after - Exclusive start: only items with greater sort keys are listed.
	 * @returns The items, in byte order of their sort keys.
	 */
	list(kind: string, prefix: string, after = ''): StandInItem[] {
		return [...this.#items.values()]
			.filter(item => item.kind?.S === kind && getSortKey(item).startsWith(prefix) && getSortKey(item) > after)
			.sort((a, b) => Buffer.compare(Buffer.from(getSortKey(a)), Buffer.from(getSortKey(b))));
	}
}

function computeItemId(key: StandInItem): string {
	return JSON.stringify([key.kind?.S, key.key?.S]);
}

function getSortKey(item: StandInItem): string {
	return item.key?.S ?? '';
}

function findValue(value: AttributeValue | undefined, path: readonly string[]): AttributeValue | undefined {
	const [name, ...rest] = path;
	return name === undefined ? value : findValue(value?.M?.[name], rest);
}
