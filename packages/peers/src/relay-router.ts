import * as z from 'zod';
import {controlTrpc} from './control-trpc.js';
import type {HostRoster} from './host-roster.js';
import {hostSightingSchema, type HostSighting} from './peer-host.js';
import type {PlatformState} from './platform-state.js';
import {crashRecordsSchema, relayRequestSchema, type RelayedState} from './relayed-state.js';

/** Options of {@link createRelayRouter}. */
export type RelayRouterOptions = {
	readonly state: PlatformState;
	/** Longest time for which `waitState` waits for a change, in milliseconds. */
	readonly maximumWaitMilliseconds: number;
	readonly roster: HostRoster;
};

/**
 * Creates the router through which hosts copy the platform's state from each other.
 *
 * @param options - State and hosts to serve.
 * @returns Procedures: `waitState` returns the state at once when it has changed, otherwise when it has been confirmed or is no
 * longer current; `readState` returns the state at once; `announceHosts` adds hosts, `listHosts` returns all known hosts, and `reportCrashes` adds crash records.
 */
export function createRelayRouter({state, maximumWaitMilliseconds, roster}: RelayRouterOptions) {
	const {procedure, router} = controlTrpc;
	return router({
		waitState: procedure.input(relayRequestSchema).query(async ({input}): Promise<RelayedState> => {
			roster.recordRequest(input.hostId);
			await state.waitForChange(input, maximumWaitMilliseconds);
			return state.buildResponse(input);
		}),
		announceHosts: procedure.input(z.array(hostSightingSchema)).mutation(({input}) => {
			roster.merge(input);
		}),
		reportCrashes: procedure.input(crashRecordsSchema).mutation(({input}) => {
			state.adoptCrashes(input);
		}),
		listHosts: procedure.query((): HostSighting[] => roster.listSightings()),
		readState: procedure.input(relayRequestSchema).query(({input}): RelayedState => state.buildResponse(input)),
	});
}

/** Type of the relay router, for its clients. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;
