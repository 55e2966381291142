/** One request of the load, planned before the run, so that every policy gets the same ones. */
export type Arrival = {
	/** Intended start in milliseconds since the start of the run. */
	readonly at: number;
	/** Name of the kind of work, for the figures. */
	readonly kind: string;
	/** Index of the entry host that the platform's balancer picks. */
	readonly host: number;
	readonly method: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string>>;
};

/** What came of an arrival. */
export type Sample = {
	readonly arrival: Arrival;
	/** Time from the intended start to the end of the response, in milliseconds. */
	readonly latency: number;
	/** Time from the intended start to the actual one, in milliseconds. */
	readonly lateness: number;
	/** HTTP status; 0 when the connection broke or nothing came in time. */
	readonly status: number;
	/** Result code of a refusal; 0 for none. */
	readonly code: number;
};

/** Whether a sample is a complete response of an endpoint. */
export function isAnswered({status}: Sample): boolean {
	return status >= 200 && status < 300;
}
