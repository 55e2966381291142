import type {Result, ResultAsync} from 'neverthrow';
import type {RouteTable} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';

/** The operator's configuration at one version of its store. */
export type RouteRevision = {
	/** Position in the history of the store, from which {@link RouteSource.waitForRoutes} waits for the next change. */
	readonly cursor: number;
	/** The configuration; `undefined` if there is none or it has not changed; a failure if it cannot be read. */
	readonly table: Result<RouteTable, Failure> | undefined;
};

/** Store of the operator's configuration. */
export type RouteSource = {
	/** Reads the current configuration. */
	readRoutes(): ResultAsync<RouteRevision, Failure>;
	/** Waits for a change after a position; fails with `table-history-lost` if the history no longer reaches back to it. */
	waitForRoutes(after: number, options: {waitMilliseconds: number; signal?: AbortSignal}): ResultAsync<RouteRevision, Failure>;
};

/** Endpoints in the registry; the platform defines their type. */
export type EndpointRegistryListing<E> = {
	readonly endpoints: readonly E[];
	/** Number of entries that could not be decoded as an endpoint. */
	readonly unreadable: number;
	/** Version of the registry, which increases with each change of any entry. */
	readonly version: number;
};

/** Registry of endpoints, in which each endpoint registers itself. */
export type EndpointSource<E> = {
	listEndpoints(): ResultAsync<EndpointRegistryListing<E>, Failure>;
};
