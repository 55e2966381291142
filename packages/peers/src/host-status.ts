import type {EndpointStatus} from '@tanagerrail/routing';

/** Status that a host reports to operators and peers. */
export type HostStatus = {
	readonly hostId: string;
	readonly failureDomain: string;
	/** Id of this run of the host's process. */
	readonly incarnation: string;
	/** Configuration revision in force; 0 when there is none. */
	readonly revision: number;
	readonly isReady: boolean;
	/** Peers whose allocators the host has a link to. */
	readonly peers: ReadonlyArray<{readonly hostId: string; readonly state: string}>;
	/** Endpoint states by service, for the services whose allocator runs on this host. */
	readonly services: Readonly<Record<string, readonly EndpointStatus[]>>;
	/** Number of violations since the host started, by invariant. */
	readonly violations: Readonly<Record<string, number>>;
};
