import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** Role of a host in the list. */
export const HostRole = {entry: 'entry', endpoint: 'endpoint'} as const;

/** One of {@link HostRole}. */
export type HostRole = typeof HostRole[keyof typeof HostRole];

/** State of a host in the list: `live` while it serves requests, `leaving` when it is about to shut down. */
export const HostState = {live: 'live', leaving: 'leaving'} as const;

/** One of {@link HostState}. */
export type HostState = typeof HostState[keyof typeof HostState];

/** A host in the platform's host list. */
export type ListedHost = {
	readonly id: string;
	readonly role: HostRole;
	readonly state: HostState;
	readonly failureDomain: string;
	/** `ip:port` on which the host accepts requests. */
	readonly address: string;
	/** Service that the host provides; endpoints only. */
	readonly service?: string;
	/** `ip:port` for connections of other entry hosts; entry hosts only. */
	readonly peerAddress?: string;
	/** `ip:port` of the admin API; entry hosts only. */
	readonly adminAddress?: string;
};

/** The platform's list of live and leaving hosts, which is eventually consistent. Failure: `host-list-unavailable`. */
export type HostList = {
	list(): ResultAsync<ListedHost[], Failure>;
};
