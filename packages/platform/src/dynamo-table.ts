import {
	DeleteItemCommand, DynamoDBClient, GetItemCommand, PutItemCommand, QueryCommand, TransactWriteItemsCommand, type AttributeValue, type Put,
} from '@aws-sdk/client-dynamodb';
import {ResultAsync} from 'neverthrow';
import {buildKeyAttributes, type KeyAttributes} from './key-attributes.js';
import {buildClientConfiguration, defaultServiceClientOptions, type ServiceClientOptions} from './service-client.js';
import {convertReadError, convertWriteError} from './table-errors.js';
import type {
	TableCondition, TableItem, TableService, TableWrite,
} from './table-service.js';

/** Options of {@link createDynamoTable}. */
export type DynamoTableOptions = ServiceClientOptions & {
	/**
	 * Name of the table. Its partition key `kind` and sort key `key` are strings; its time-to-live attribute `expiresAt`
	 * is a number.
	 */
	readonly table: string;
};

/** Defaults of {@link DynamoTableOptions}. */
export const defaultDynamoTableOptions = {...defaultServiceClientOptions, table: 'tanagerrail'};

/**
 * Creates a table service client for the DynamoDB protocol. Reads are strongly consistent. Calls are not retried.
 *
 * @param options - Address, table, timeouts and connection limit.
 * @returns The table service. The prefix passed to `list` must contain the partition key, the part of a key before the first `#`.
 */
export function createDynamoTable(options: Partial<DynamoTableOptions> & Pick<DynamoTableOptions, 'url'>): TableService {
	const {table, ...clientOptions} = {...defaultDynamoTableOptions, ...options};
	const client = new DynamoDBClient(buildClientConfiguration(clientOptions));
	const createCallOptions = () => ({abortSignal: AbortSignal.timeout(clientOptions.timeoutMilliseconds)});
	return {
		get: key => ResultAsync.fromPromise(
			client.send(new GetItemCommand({TableName: table, Key: buildKeyAttributes(key), ConsistentRead: true}), createCallOptions()),
			convertReadError,
		).map(({Item: item}) => item && decodeItem(item)),
		write(write) {
			const response = write.kind === 'put'
				? client.send(new PutItemCommand(buildPut(table, write)), createCallOptions())
				: client.send(new DeleteItemCommand(buildDelete(table, write)), createCallOptions());
			return ResultAsync.fromPromise<unknown, ReturnType<typeof convertWriteError>>(response, error => convertWriteError(error, [getKey(write)])).map(() => undefined);
		},
		transact: writes => ResultAsync.fromPromise(
			client.send(new TransactWriteItemsCommand({
				TransactItems: writes.map(write => write.kind === 'put' ? {Put: buildPut(table, write)} : {Delete: buildDelete(table, write)}),
			}), createCallOptions()),
			error => convertWriteError(error, writes.map(getKey)),
		).map(() => undefined),
		list: prefix => ResultAsync.fromPromise(listItems(client, {table, prefix, createCallOptions}), convertReadError),
		close() {
			client.destroy();
		},
	};
}

type ListOptions = {
	readonly table: string;
	readonly prefix: string;
	readonly createCallOptions: () => {abortSignal: AbortSignal};
};

async function listItems(client: DynamoDBClient, {table, prefix, createCallOptions}: ListOptions): Promise<TableItem[]> {
	const items: TableItem[] = [];
	let startKey: Record<string, AttributeValue> | undefined;
	do {
		const page = await client.send(new QueryCommand({
			TableName: table,
			ConsistentRead: true,
			KeyConditionExpression: '#kind = :kind AND begins_with(#key, :prefix)',
			ExpressionAttributeNames: {'#kind': 'kind', '#key': 'key'},
			ExpressionAttributeValues: {':kind': buildKeyAttributes(prefix).kind, ':prefix': {S: prefix}},
			ExclusiveStartKey: startKey,
		}), createCallOptions());
		items.push(...(page.Items ?? []).map(decodeItem));
		startKey = page.LastEvaluatedKey;
	} while (startKey);

	return items;
}

function getKey(write: TableWrite): string {
	return write.kind === 'put' ? write.item.key : write.key;
}

function buildPut(table: string, {item, condition}: Extract<TableWrite, {kind: 'put'}>) {
	return {TableName: table, Item: encodeItem(item), ...buildCondition(condition)};
}

function buildDelete(table: string, {key, condition}: Extract<TableWrite, {kind: 'delete'}>) {
	return {TableName: table, Key: buildKeyAttributes(key), ...buildCondition(condition)};
}

function buildCondition(condition: TableCondition): Pick<Put, 'ConditionExpression' | 'ExpressionAttributeNames' | 'ExpressionAttributeValues'> {
	if (condition.kind === 'none') {
		return {};
	}

	if (condition.kind === 'absent') {
		return {ConditionExpression: 'attribute_not_exists(#key)', ExpressionAttributeNames: {'#key': 'key'}};
	}

	return {
		ConditionExpression: '#attributes.#name = :value',
		ExpressionAttributeNames: {'#attributes': 'attributes', '#name': condition.attribute},
		ExpressionAttributeValues: {':value': {S: condition.value}},
	};
}

function encodeItem({key, attributes, expiresAtSeconds}: TableItem): KeyAttributes & Record<string, AttributeValue> {
	return {
		...buildKeyAttributes(key),
		attributes: {M: Object.fromEntries(Object.entries(attributes).map(([name, value]) => [name, {S: value}]))},
		...(expiresAtSeconds === undefined ? {} : {expiresAt: {N: String(expiresAtSeconds)}}),
	};
}

function decodeItem({key, attributes, expiresAt}: Record<string, AttributeValue>): TableItem {
	return {
		key: key?.S ?? '',
		attributes: Object.fromEntries(Object.entries(attributes?.M ?? {}).map(([name, value]) => [name, value.S ?? ''])),
		...(expiresAt?.N === undefined ? {} : {expiresAtSeconds: Number(expiresAt.N)}),
	};
}
