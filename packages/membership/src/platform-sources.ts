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
