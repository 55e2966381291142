import {err, ok, type Result} from 'neverthrow';
import {createOperatorClient, describeControlError, type OperatorClient} from '@tanagerrail/peers';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {OperatorTarget} from './operator-options.js';

/** Timeout of one call, in milliseconds; `answers apply` waits up to 3 s for confirmations of the hosts. */
const callTimeoutMilliseconds = 10_000;

/**
 * Sends an operator call to the admin addresses in order until one responds. A change that is sent again contains the same
 * token, so that it is accepted only once.
 *
 * @param target - Addresses and key.
 * @param call - The call.
 * @returns Its response; failures `peer-unreachable` and `peer-unauthorized`.
 */
export async function sendOperatorCall<T>({addresses, key}: OperatorTarget, call: (client: OperatorClient, signal: AbortSignal) => Promise<T>): Promise<Result<T, Failure>> {
	let failure = createFailure('peer-unreachable', {host: 'none', reason: 'no address given'});
	for (const address of addresses) {
		try {
			return ok(await call(createOperatorClient({address, key}), AbortSignal.timeout(callTimeoutMilliseconds)));
		} catch (error) {
			failure = describeControlError(error, address);
			if (failure.id === 'peer-unauthorized') {
				break;
			}
		}
	}

	return err(failure);
}
