import type {TransactionCanceledException} from '@aws-sdk/client-dynamodb';
import {createFailure, type Failure} from '@tanagerrail/results';
import {isConnectFailure, type ServiceError} from './service-error.js';

const throttlingErrors = new Set([
	'ProvisionedThroughputExceededException', 'ThrottlingException', 'RequestLimitExceeded', 'LimitExceededException',
]);
const throttlingReasons = new Set(['ThrottlingError', 'ProvisionedThroughputExceeded']);

/**
 * Converts an error of the DynamoDB client to the failure of a write. Only a 4xx status or a connection that was never
 * opened proves that nothing was written. After status 500 or 503, a timeout or a lost connection, the write may have
 * taken effect.
 *
 * @param error - Error thrown by the DynamoDB client.
 * @param keys - Keys of the items to write, in the order of the writes.
 * @returns `table-condition-failed`, `table-throttled`, `table-unavailable` or `table-ambiguous`.
 */
export function convertWriteError(error: unknown, keys: readonly string[]): Failure {
	const {name, $metadata: metadata} = error as ServiceError;
	if (name === 'ConditionalCheckFailedException') {
		return createFailure('table-condition-failed', {key: keys[0] ?? ''});
	}

	if (name === 'TransactionCanceledException') {
		return convertCancellation(error as TransactionCanceledException, keys);
	}

	const status = metadata?.httpStatusCode ?? 0;
	const isNotWritten = (status >= 400 && status < 500) || isConnectFailure(error);
	return isNotWritten ? convertReadError(error) : createFailure('table-ambiguous', {key: keys.join(', ')});
}

/**
 * Converts an error of the DynamoDB client to the failure of a read.
 *
 * @param error - Error thrown by the DynamoDB client.
 * @returns `table-throttled` or `table-unavailable`.
 */
export function convertReadError(error: unknown): Failure {
	const {name} = error as ServiceError;
	return throttlingErrors.has(name) ? createFailure('table-throttled') : createFailure('table-unavailable', {reason: name});
}

function convertCancellation({CancellationReasons: reasons = []}: TransactionCanceledException, keys: readonly string[]): Failure {
	const index = reasons.findIndex(({Code: code}) => code === 'ConditionalCheckFailed');
	if (index !== -1) {
		return createFailure('table-condition-failed', {key: keys[index] ?? ''});
	}

	return reasons.some(({Code: code}) => throttlingReasons.has(code ?? ''))
		? createFailure('table-throttled')
		: createFailure('table-unavailable', {reason: reasons.find(({Code: code}) => code !== 'None')?.Code ?? 'TransactionCanceledException'});
}
