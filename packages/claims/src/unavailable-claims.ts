import {errAsync} from 'neverthrow';
import {createFailure} from '@tanagerrail/results';
import type {ClaimService} from './claim-service.js';

/**
 * Creates the claim service of a host without a table: every keyed request is refused as `store-unavailable` and none runs.
 *
 * @returns The claim service.
 */
export function createUnavailableClaims(): ClaimService {
	return {
		claim: () => errAsync(createFailure('store-unavailable')),
		recordDispatch: () => false,
		recordNotRun: () => undefined,
		storeOutcome: async () => undefined,
		remove: async () => undefined,
		drain: async () => undefined,
	};
}
