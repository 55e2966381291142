import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** Role of a listed process. */
export const HostRole = {entry: 'entry', endpoint: 'endpoint'} as const;

/** `entry` or `endpoint`. */
export type HostRole = typeof HostRole[keyof typeof HostRole];

/** State of a listed process. */
export const HostState = {live: 'live', leaving: 'leaving'} as const;

/** `live` or `leaving`. */
export type HostState = typeof HostState[keyof typeof HostState];

/** One row of the platform's host list. */
export type ListedHost = {
	readonly id: string;
	readonly role: HostRole;
	readonly state: HostState;
	readonly failureDomain: string;
	/** `ip:port` for requests. */
	readonly address: string;
	/** Service of an endpoint. */
	readonly service?: string;
	/** `ip:port` for peers, of an entry host. */
	readonly peerAddress?: string;
	/** `ip:port` for operators, of an entry host. */
	readonly adminAddress?: string;
};

/** The platform's list of live and leaving hosts; it lags. Failure: `host-list-unavailable`. */
export type HostList = {
	list(): ResultAsync<ListedHost[], Failure>;
};
