/** How often a request of a route may run at an endpoint. */
export const Repetition = {
	/** The request may run more than once. */
	idempotent: 'idempotent',
	/** The request runs at most once for each attempt of the caller. */
	once: 'once',
} as const;

/** `idempotent` or `once`. */
export type Repetition = typeof Repetition[keyof typeof Repetition];

/** One service of a route and its share of the route's requests. */
export type RouteTarget = {
	readonly service: string;
	/** Share relative to the weights of the route's other targets; 0 or more. */
	readonly weight: number;
};

/** Maps the requests of a host name below a path prefix to services. */
export type PrefixRoute = {
	readonly name: string;
	/** Host name in lower case, without a port. */
	readonly hostname: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repetition: Repetition;
	/** Longest time until the final response, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Time within which a response is worth most, in milliseconds. */
	readonly objectiveMilliseconds: number;
	/** Rank among the routes; 0 is served first. */
	readonly rank: number;
	/** Endpoints to which one request may be sent at most. */
	readonly maximumAttempts: number;
	/** At least one. */
	readonly targets: readonly RouteTarget[];
};

/** What all routes of a service share. */
export type RoutedService = {
	readonly name: string;
	/** Path on which its endpoints tell health and load. */
	readonly healthPath: string;
	/** Connections that one endpoint accepts from all hosts together. */
	readonly connectionsPerEndpoint: number;
};

/** Limits on what callers send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Time in which the headers of a request must arrive, in milliseconds. */
	readonly headersMilliseconds: number;
	/** Time for which a connection may stay idle, in milliseconds. */
	readonly idleMilliseconds: number;
};

/** A configuration of routes by host name and path prefix. */
export type RouteTable = {
	/** Versions compare as numbers; a higher one replaces a lower one. */
	readonly revision: number;
	readonly routes: readonly PrefixRoute[];
	readonly services: readonly RoutedService[];
	readonly limits: CallerLimits;
};
