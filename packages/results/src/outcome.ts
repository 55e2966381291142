/** Whether a request that got no response from an endpoint may have run there. */
export const Outcome = {
	/** The request definitely did not run. */
	notRun: 'not-run',
	/** The request may have run. */
	unknown: 'unknown',
} as const;

/** One of `not-run` and `unknown`. */
export type Outcome = typeof Outcome[keyof typeof Outcome];
