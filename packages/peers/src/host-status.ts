import type {EndpointStatus} from '@tanagerrail/routing';

/** What one host reports about itself. */
export type HostStatus = {
	readonly hostId: string;
	readonly failureDomain: string;
	readonly incarnation: string;
	/** Number of the revision in force; 0 when none is. */
	readonly revision: number;
	readonly isReady: boolean;
	/** Allocators to which the host has a link. */
	readonly peers: ReadonlyArray<{readonly hostId: string; readonly state: string}>;
	/** Endpoint states by service, for the services whose allocator runs on this host. */
	readonly services: Readonly<Record<string, readonly EndpointStatus[]>>;
	/** Violations of invariants since the start, by invariant. */
	readonly violations: Readonly<Record<string, number>>;
};
