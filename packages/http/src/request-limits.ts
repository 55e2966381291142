/** Limits on what callers send. */
export type RequestLimits = {
	/** Bytes of all request headers. */
	readonly headerBytes: number;
	/** Bytes of a request body. */
	readonly bodyBytes: number;
	/** Milliseconds in which the headers must arrive. */
	readonly headersMilliseconds: number;
	/** Milliseconds in which the whole request must arrive. */
	readonly requestMilliseconds: number;
	/** Open connections of callers. */
	readonly connections: number;
	/** Requests in progress on one connection. */
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
