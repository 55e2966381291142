import {
	PlatformServer, type PlatformCounts, type PlatformRequest, type PlatformResponse, type PlatformUrls,
} from './platform-server.js';
import type {PlatformFaults} from './platform-faults.js';
import {RateLimit} from './rate-limit.js';
import {
	TableItems, UnsupportedExpressionError, type AttributeValue, type ConditionalWrite, type StandInItem,
} from './table-items.js';

/** Options of {@link StandInTable}. */
export type StandInTableOptions = {
	readonly writesPerSecond: number;
	readonly readsPerSecond: number;
	/** Maximum number of items on one page of a query. */
	readonly pageSize: number;
};

/** Defaults of {@link StandInTableOptions}: the platform's limits, shared by all hosts. */
export const defaultStandInTableOptions: StandInTableOptions = {writesPerSecond: 400, readsPerSecond: 2000, pageSize: 100};

type QueryInput = {
	readonly ExpressionAttributeValues: Readonly<Record<string, AttributeValue>>;
	readonly ExclusiveStartKey?: StandInItem;
};

type TransactInput = {readonly TransactItems: ReadonlyArray<{readonly Put?: ConditionalWrite; readonly Delete?: ConditionalWrite}>};

const targetPrefix = 'DynamoDB_20120810.';
const errorPrefix = 'com.amazonaws.dynamodb.v20120810#';
const writeOperations = new Set(['PutItem', 'DeleteItem', 'TransactWriteItems']);

/**
 * Serves the part of the DynamoDB JSON protocol (version 2012-08-10) that the platform adapter uses: GetItem, PutItem,
 * DeleteItem, TransactWriteItems and Query by key prefix. Signatures are not checked.
 */
export class StandInTable {
	readonly #items = new TableItems();
	readonly #writeLimit: RateLimit;
	readonly #readLimit: RateLimit;
	readonly #pageSize: number;
	readonly #server: PlatformServer;

	readonly #handlers: Readonly<Record<string, (input: never) => PlatformResponse>> = {
		GetItem: ({Key: key}: {Key: StandInItem}) => this.#readLimit.take(1) ? createResponse({Item: this.#items.find(key)}) : createThroughputError(),
		PutItem: (input: ConditionalWrite) => this.#write(input),
		DeleteItem: (input: ConditionalWrite) => this.#write(input),
		TransactWriteItems: (input: TransactInput) => this.#transact(input),
		Query: (input: QueryInput) => this.#query(input),
	};

	constructor(options: Partial<StandInTableOptions> = {}) {
		const {writesPerSecond, readsPerSecond, pageSize} = {...defaultStandInTableOptions, ...options};
		this.#writeLimit = new RateLimit(writesPerSecond);
		this.#readLimit = new RateLimit(readsPerSecond);
		this.#pageSize = pageSize;
		this.#server = new PlatformServer({
			isWrite: request => writeOperations.has(getOperation(request)),
			serve: request => this.#serve(request),
		});
	}

	/** Number of successful reads and writes. */
	get counts(): PlatformCounts {
		return this.#server.counts;
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port; 0 picks a free one.
	 * @returns The URLs in use.
	 */
	async start(port = 0): Promise<PlatformUrls> {
		return this.#server.start(port);
	}

	/**
	 * Changes the faults.
	 *
	 * @param faults - The faults to change.
	 */
	async update(faults: Partial<PlatformFaults>): Promise<void> {
		await this.#server.update(faults);
	}

	/** Stops immediately. */
	stop(): void {
		this.#server.stop();
	}

	#serve(request: PlatformRequest): PlatformResponse {
		const operation = getOperation(request);
		const handler = this.#handlers[operation];
		if (!handler) {
			return createError('UnknownOperationException');
		}

		try {
			return handler(JSON.parse(Buffer.from(request.body).toString()) as never);
		} catch (error) {
			return createError(error instanceof UnsupportedExpressionError ? 'ValidationException' : 'SerializationException');
		}
	}

	#write(write: ConditionalWrite): PlatformResponse {
		if (!this.#writeLimit.take(1)) {
			return createThroughputError();
		}

		if (!this.#items.check(write)) {
			return createError('ConditionalCheckFailedException');
		}

		this.#items.apply(write);
		return createResponse({});
	}

	#transact({TransactItems: items}: TransactInput): PlatformResponse {
		const writes = items.map(({Put: put, Delete: remove}) => put ?? remove ?? {});
		// Each write in a transaction consumes the capacity of two writes.
		if (!this.#writeLimit.take(2 * writes.length)) {
			return createThroughputError();
		}

		const reasons = writes.map(write => ({Code: this.#items.check(write) ? 'None' : 'ConditionalCheckFailed'}));
		if (reasons.some(({Code: code}) => code !== 'None')) {
			return createError('TransactionCanceledException', {CancellationReasons: reasons});
		}

		for (const write of writes) {
			this.#items.apply(write);
		}

		return createResponse({});
	}

	#query({ExpressionAttributeValues: values, ExclusiveStartKey: start}: QueryInput): PlatformResponse {
		if (!this.#readLimit.take(1)) {
			return createThroughputError();
		}

		const found = this.#items.list(values[':kind']?.S ?? '', values[':prefix']?.S ?? '', start?.key?.S);
		const page = found.slice(0, this.#pageSize);
		const last = found.length > page.length ? page.at(-1) : undefined;
		return createResponse({Items: page, Count: page.length, LastEvaluatedKey: last && {kind: last.kind, key: last.key}});
	}
}

function getOperation({headers}: PlatformRequest): string {
	const target = String(headers['x-amz-target']);
	return target.startsWith(targetPrefix) ? target.slice(targetPrefix.length) : '';
}

function createResponse(body: unknown): PlatformResponse {
	return {status: 200, headers: {'content-type': 'application/x-amz-json-1.0'}, body: JSON.stringify(body)};
}

function createError(type: string, members: Readonly<Record<string, unknown>> = {}): PlatformResponse {
	return {...createResponse({__type: `${errorPrefix}${type}`, message: type, ...members}), status: 400};
}

function createThroughputError(): PlatformResponse {
	return createError('ProvisionedThroughputExceededException');
}
