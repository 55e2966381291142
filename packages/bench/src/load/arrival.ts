/** A request of the load. Arrivals are planned before the run, so that every variant receives the same ones. */
export type Arrival = {
	/** Intended start in milliseconds since the start of the run. */
	readonly at: number;
	/** Name of the kind of work, by which samples are grouped. */
	readonly kind: string;
	/** Index of the entry host that receives the request. */
	readonly host: number;
	readonly method: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string>>;
};

/** Measured result of an arrival. */
export type Sample = {
	readonly arrival: Arrival;
	/** Time from the intended start to the end of the response, in milliseconds. */
	readonly latency: number;
	/** Time from the intended start to the actual one, in milliseconds. */
	readonly lateness: number;
	/** HTTP status; 0 when the connection broke or the request timed out. */
	readonly status: number;
	/** Result code of an error response; 0 when there is none. */
	readonly code: number;
};

/** Whether a sample is a complete response of an endpoint. */
export function isAnswered({status}: Sample): boolean {
	return status >= 200 && status < 300;
}
