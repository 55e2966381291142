import {createTRPCClient, type TRPCClient} from '@trpc/client';
import {operatorControlPath} from './control-handler.js';
import {createControlLink} from './control-link.js';
import type {OperatorRouter} from './operator-router.js';

/** Client of the operator calls of one host. */
export type OperatorClient = TRPCClient<OperatorRouter>;

/**
 * Creates a client of the operator calls.
 *
 * @param options - Admin address (`ip:port`) and key.
 * @returns The client.
 */
export function createOperatorClient({address, key}: {readonly address: string; readonly key: string}): OperatorClient {
	return createTRPCClient<OperatorRouter>({links: [createControlLink({address, path: operatorControlPath, key})]});
}
