import * as z from 'zod';
import {controlTrpc} from './control-trpc.js';
import type {HostRoster} from './host-roster.js';
import {hostSightingSchema, type HostSighting} from './peer-host.js';
import type {PlatformState} from './platform-state.js';
import {relayQuestionSchema, type RelayedState} from './relayed-state.js';

/** Options of {@link createRelayRouter}. */
export type RelayRouterOptions = {
	readonly state: PlatformState;
	/** Longest time for which a question waits for news, in milliseconds. */
	readonly holdMilliseconds: number;
	readonly roster: HostRoster;
};

/**
 * Creates the router by which hosts tell each other of the platform's state.
 *
 * @param options - What is told.
 * @returns Procedures: `waitState` answers at once when there is news, else when the state has been confirmed or no longer
 * counts as current; `readState` tells the state as it is; `announceHosts` takes hosts and `listHosts` tells
 * all that are known.
 */
export function createRelayRouter({state, holdMilliseconds, roster}: RelayRouterOptions) {
	const {procedure, router} = controlTrpc;
	return router({
		waitState: procedure.input(relayQuestionSchema).query(async ({input}): Promise<RelayedState> => {
			roster.markAsking(input.hostId);
			await state.waitNews(input, holdMilliseconds);
			return state.describe(input);
		}),
		announceHosts: procedure.input(z.array(hostSightingSchema)).mutation(({input}) => {
			roster.merge(input);
		}),
		listHosts: procedure.query((): HostSighting[] => roster.listSightings()),
		readState: procedure.input(relayQuestionSchema).query(({input}): RelayedState => state.describe(input)),
	});
}

/** Type of the relay router, for its clients. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;
