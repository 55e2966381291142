import type {RouteTable} from '@tanagerrail/configuration';
import type {DirectoryNews} from '@tanagerrail/routing';
import * as z from 'zod';
import type {HostSighting} from './peer-host.js';

/** What the asking host knows already. */
export const relayQuestionSchema = z.object({
	/** Id of the asking host. */
	hostId: z.string(),
	/** Life of the answering host to which the cursor belongs. */
	incarnation: z.string(),
	/** Position in the change log of the answering host's directory. */
	cursor: z.number(),
	/** Version of the registry at which it knows the endpoints; an answer from before is of no use. */
	registryVersion: z.number(),
	/** Revision of the configuration in force at the asking host; -1 for none. */
	revision: z.number(),
	/** Version of the answering host's list of hosts that it knows; 0 for none. */
	hostsVersion: z.number(),
});

/** What the asking host knows already. */
export type RelayQuestion = z.infer<typeof relayQuestionSchema>;

/** What one host tells another of the platform's state. */
export type RelayedState = {
	readonly incarnation: string;
	/** Whether the answering host reads the store or hears from one that does. */
	readonly hasSource: boolean;
	/** Time since the state was last known to be current, in milliseconds. */
	readonly age: number;
	/** Version of the registry of endpoints at that time. */
	readonly registryVersion: number;
	readonly directory: DirectoryNews;
	/** The configuration, where the asking host has an older one. */
	readonly routes: RouteTable | undefined;
	/** Version of the answering host's list of hosts. */
	readonly hostsVersion: number;
	/** The list, where the asking host has another version. */
	readonly hosts: readonly HostSighting[] | undefined;
};
