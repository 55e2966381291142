/** What is known about a request that got no response from an endpoint. */
export const Outcome = {
	/** The request certainly did not run. */
	notRun: 'not-run',
	/** The request may have run. */
	unknown: 'unknown',
} as const;

/** One of `not-run` and `unknown`. */
export type Outcome = typeof Outcome[keyof typeof Outcome];
