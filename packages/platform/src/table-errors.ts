import type {TransactionCanceledException} from '@aws-sdk/client-dynamodb';
import {createFailure, type Failure} from '@tanagerrail/results';
import {isConnectFailure, type ServiceError} from './service-error.js';

const throttlingErrors = new Set([
	'ProvisionedThroughputExceededException', 'ThrottlingException', 'RequestLimitExceeded', 'LimitExceededException',
]);
const throttlingReasons = new Set(['ThrottlingError', 'ProvisionedThroughputExceeded']);

/**
 * Tells the failure of a write from the error of the DynamoDB client. Only an error that proves that nothing was written
 * is passed on as such: a refusal by the protocol (4xx) or a connection that was never opened. Status 500 and 503, a
 * timeout and a lost connection leave the effect open.
 *
 * @param error - What the client threw.
 * @param keys - Keys of the items written, in the order of the writes.
 * @returns `table-condition-failed`, `table-throttled`, `table-unavailable` or `table-ambiguous`.
 */
export function describeWriteError(error: unknown, keys: readonly string[]): Failure {
	const {name, $metadata: metadata} = error as ServiceError;
	if (name === 'ConditionalCheckFailedException') {
		return createFailure('table-condition-failed', {key: keys[0] ?? ''});
	}

	if (name === 'TransactionCanceledException') {
		return describeCancellation(error as TransactionCanceledException, keys);
	}

	const status = metadata?.httpStatusCode ?? 0;
	const isRefused = (status >= 400 && status < 500) || isConnectFailure(error);
	return isRefused ? describeReadError(error) : createFailure('table-ambiguous', {key: keys.join(', ')});
}

/**
 * Tells the failure of a read from the error of the DynamoDB client.
 *
 * @param error - What the client threw.
 * @returns `table-throttled` or `table-unavailable`.
 */
export function describeReadError(error: unknown): Failure {
	const {name} = error as ServiceError;
	return throttlingErrors.has(name) ? createFailure('table-throttled') : createFailure('table-unavailable', {reason: name});
}

function describeCancellation({CancellationReasons: reasons = []}: TransactionCanceledException, keys: readonly string[]): Failure {
	const index = reasons.findIndex(({Code: code}) => code === 'ConditionalCheckFailed');
	if (index !== -1) {
		return createFailure('table-condition-failed', {key: keys[index] ?? ''});
	}

	return reasons.some(({Code: code}) => throttlingReasons.has(code ?? ''))
		? createFailure('table-throttled')
		: createFailure('table-unavailable', {reason: reasons.find(({Code: code}) => code !== 'None')?.Code ?? 'TransactionCanceledException'});
}
