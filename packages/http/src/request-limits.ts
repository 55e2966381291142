/** Limits on the connections and requests of callers. */
export type RequestLimits = {
	/** Maximum size of all headers of a request, in bytes. */
	readonly headerBytes: number;
	/** Maximum size of a request body, in bytes. */
	readonly bodyBytes: number;
	/** Time in which the headers must arrive, in milliseconds. */
	readonly headersMilliseconds: number;
	/** Time in which the whole request must arrive, in milliseconds. */
	readonly requestMilliseconds: number;
	/** Maximum number of open connections. */
	readonly connections: number;
	/** Maximum number of requests in progress on one connection. */
	readonly pipelinedRequests: number;
};

/** Defaults of {@link RequestLimits}. */
export const defaultRequestLimits: RequestLimits = {
	headerBytes: 16_384,
	bodyBytes: 1_048_576,
	headersMilliseconds: 5000,
	requestMilliseconds: 30_000,
	connections: 10_000,
	pipelinedRequests: 16,
};
