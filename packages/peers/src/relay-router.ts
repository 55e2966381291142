import {controlTrpc} from './control-trpc.js';
import type {PlatformState} from './platform-state.js';
import {relayQuestionSchema, type RelayedState} from './relayed-state.js';

/** Options of {@link createRelayRouter}. */
export type RelayRouterOptions = {
	readonly state: PlatformState;
	/** Longest time for which a question waits for news, in milliseconds. */
	readonly holdMilliseconds: number;
	/** Called with the id of each host that asks. */
	readonly onQuestion: (hostId: string) => void;
};

/**
 * Creates the router by which hosts tell each other of the platform's state.
 *
 * @param options - What is told.
 * @returns Procedures: `waitState` answers at once when there is news, else when the state has been confirmed or no longer
 * counts as current; `readState` tells the state as it is.
 */
export function createRelayRouter({state, holdMilliseconds, onQuestion}: RelayRouterOptions) {
	const {procedure, router} = controlTrpc;
	return router({
		waitState: procedure.input(relayQuestionSchema).query(async ({input}): Promise<RelayedState> => {
			onQuestion(input.hostId);
			await state.waitNews(input, holdMilliseconds);
			return state.describe(input);
		}),
		readState: procedure.input(relayQuestionSchema).query(({input}): RelayedState => state.describe(input)),
	});
}

/** Type of the relay router, for its clients. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;
