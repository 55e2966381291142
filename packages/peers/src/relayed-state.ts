import type {RouteTable} from '@tanagerrail/configuration';
import type {CrashDelta, DirectoryDelta} from '@tanagerrail/routing';
import * as z from 'zod';
import type {HostSighting} from './peer-host.js';

/** Schema of {@link RelayRequest}. */
export const relayRequestSchema = z.object({
	/** Id of the requesting host. */
	hostId: z.string(),
	/** Incarnation of the responding host that `cursor` and `hostsVersion` refer to; empty for none. */
	incarnation: z.string(),
	/** Position in the change log of the responding host's directory. */
	cursor: z.number(),
	/** Registry version of the known endpoints; a response with an older version is not adopted. */
	registryVersion: z.number(),
	/** Configuration revision in force on the requesting host; -1 for none. */
	revision: z.number(),
	/** Known version of the responding host's list of hosts; 0 for none. */
	hostsVersion: z.number(),
	/** Known version of the responding host's crash records; 0 for none. */
	crashesVersion: z.number().default(0),
});

/** Request of a host for the platform's state, with the versions of the parts that it has. */
export type RelayRequest = z.infer<typeof relayRequestSchema>;

/** Schema of the crash records that a host reports to the host from which it copies the state. */
export const crashRecordsSchema = z.array(z.object({fingerprint: z.string(), crashes: z.number()}));

/** The parts of the platform's state that the requesting host does not have. */
export type RelayedState = {
	/** Id of the current run of the responding host's process. */
	readonly incarnation: string;
	/** Whether the responding host copies the state from another host or can reach the store. */
	readonly hasSource: boolean;
	/** Time since the state was last confirmed, in milliseconds. */
	readonly age: number;
	/** Version of the endpoint registry at that time. */
	readonly registryVersion: number;
	/** Endpoints changed since the cursor of the request. */
	readonly directory: DirectoryDelta;
	/** The configuration, if that of the requesting host is older. */
	readonly routes: RouteTable | undefined;
	/** Version of the responding host's list of hosts. */
	readonly hostsVersion: number;
	/** The list of hosts, if the requesting host has another version. */
	readonly hosts: readonly HostSighting[] | undefined;
	/** Crashes counted since the version of the request; undefined from a host of an earlier release. */
	readonly crashes: CrashDelta | undefined;
};
