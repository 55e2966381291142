import {revisionRecordSchema, type ConfigurationSynchronizer, type RevisionRecord} from '@tanagerrail/configuration';
import {controlTrpc} from './control-trpc.js';
import type {HostStatus} from './host-status.js';

/** Options of {@link createPeerControlRouter}. */
export type PeerControlRouterOptions = {
	readonly keeper: ConfigurationSynchronizer;
	readonly describeHost: () => HostStatus;
};

/**
 * Creates the control router that a host serves to its peers.
 *
 * @param options - Sources of the configuration and the status.
 * @returns Procedures: `announce` takes an accepted change and returns the revision in force afterwards,
 * `getConfiguration` returns the change in force, `getStatus` describes the host.
 */
export function createPeerControlRouter({keeper, describeHost}: PeerControlRouterOptions) {
	const {procedure, router} = controlTrpc;
	return router({
		announce: procedure.input(revisionRecordSchema).mutation(({input}) => {
			keeper.adopt(input);
			return {revision: keeper.revision};
		}),
		getConfiguration: procedure.query((): RevisionRecord | null => keeper.record ?? null),
		getStatus: procedure.query(() => describeHost()),
	});
}

/** Type of the peer control router, for its clients. */
export type PeerControlRouter = ReturnType<typeof createPeerControlRouter>;
