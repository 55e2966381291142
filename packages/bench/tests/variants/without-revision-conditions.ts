import {DynamoDBClient} from '@aws-sdk/client-dynamodb';
import {runEntry} from './run-entry.js';

type Write = {ConditionExpression?: string; ExpressionAttributeNames?: unknown; ExpressionAttributeValues?: unknown};
type Input = {readonly TransactItems?: ReadonlyArray<{readonly Put?: Write}>};
type Send = (command: {readonly input: Input}, ...rest: unknown[]) => unknown;

/** Variant of the entry host that writes configuration changes without checking the current revision. */
const prototype = DynamoDBClient.prototype as unknown as {send: Send};
const {send} = prototype;
prototype.send = function (command, ...rest) {
	for (const {Put: put = {}} of command.input.TransactItems ?? []) {
		delete put.ConditionExpression;
		delete put.ExpressionAttributeNames;
		delete put.ExpressionAttributeValues;
	}

	return send.call(this, command, ...rest);
};

await runEntry();
