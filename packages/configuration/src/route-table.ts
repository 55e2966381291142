/** How often a request of a route may run at an endpoint. */
export const Repetition = {
	/** The request may run more than once. */
	idempotent: 'idempotent',
	/** The request runs at most once each time the caller sends it. */
	once: 'once',
} as const;

/** `idempotent` or `once`. */
export type Repetition = typeof Repetition[keyof typeof Repetition];

/** A service of a route and the weight with which it receives requests. */
export type RouteTarget = {
	readonly service: string;
	/** Weight relative to the other targets of the route; 0 or more. */
	readonly weight: number;
};

/** Maps the requests for a host name and path prefix to services. */
export type PrefixRoute = {
	readonly name: string;
	/** Host name in lower case, without a port. */
	readonly hostname: string;
	/** Path prefix; starts and ends with a slash. */
	readonly pathPrefix: string;
	readonly repetition: Repetition;
	/** Longest time until the final response, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Target latency: a response within this time has full value, in milliseconds. */
	readonly objectiveMilliseconds: number;
	/** Priority rank among the routes; 0 is served first. */
	readonly rank: number;
	/** Maximum number of endpoints to which one request may be sent. */
	readonly maximumAttempts: number;
	/** Target services; at least one. */
	readonly targets: readonly RouteTarget[];
};

/** Settings shared by all routes of a service. */
export type RoutedService = {
	readonly name: string;
	/** Path of the health and load report of the endpoints. */
	readonly healthPath: string;
	/** Maximum number of connections that one endpoint accepts from all hosts together. */
	readonly connectionsPerEndpoint: number;
};

/** Limits on requests and connections of callers. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Timeout for receiving the headers of a request, in milliseconds. */
	readonly headersMilliseconds: number;
	/** Idle timeout of a connection, in milliseconds. */
	readonly idleMilliseconds: number;
};

/** Routes by host name and path prefix, with their services and the limits for callers. */
export type RouteTable = {
	/** Revision number; a table with a higher revision replaces one with a lower revision. */
	readonly revision: number;
	readonly routes: readonly PrefixRoute[];
	readonly services: readonly RoutedService[];
	readonly limits: CallerLimits;
};
