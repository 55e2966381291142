import type {Result, ResultAsync} from 'neverthrow';
import type {RouteTable} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';

/** The operator's configuration at one version of its store. */
export type RouteRevision = {
	/** Position after which newer configurations are waited for. */
	readonly cursor: number;
	/** The configuration; nothing when there is none or it has not changed; a failure when it cannot be read. */
	readonly table: Result<RouteTable, Failure> | undefined;
};

/** Where the operator's configuration is kept. */
export type RouteSource = {
	readRoutes(): ResultAsync<RouteRevision, Failure>;
	/** Waits for a change after a position; fails with `table-history-lost` when the position is too old. */
	waitRoutes(after: number, options: {waitMilliseconds: number; signal?: AbortSignal}): ResultAsync<RouteRevision, Failure>;
};

/** Endpoints that a registry lists, of the type that the caller of the follower uses. */
export type EndpointRegistryListing<E> = {
	readonly endpoints: readonly E[];
	/** Entries that do not describe an endpoint. */
	readonly unreadable: number;
	/** Version of the registry, which rises with each change of any entry. */
	readonly version: number;
};

/** Where endpoints register themselves. */
export type EndpointSource<E> = {
	listEndpoints(): ResultAsync<EndpointRegistryListing<E>, Failure>;
};

/** A host of this system as it is registered. */
export type RegisteredHost = {
	readonly id: string;
	readonly failureDomain: string;
	/** `ip:port` at which other hosts ask it. */
	readonly peerAddress: string;
	/** Processor cores that it may use. */
	readonly cores: number;
};

/** The registered hosts. */
export type HostListing = {
	readonly hosts: readonly RegisteredHost[];
	/** Differs between two lists that differ. */
	readonly version: string;
};

/** Where the hosts of this system register themselves. */
export type HostRegistry = {
	registerHost(host: RegisteredHost): ResultAsync<void, Failure>;
	/** Lists the hosts that are registered; nothing expires by itself. */
	listHosts(): ResultAsync<HostListing, Failure>;
	/** Removes hosts that are gone. */
	removeHosts(ids: readonly string[]): ResultAsync<void, Failure>;
};
