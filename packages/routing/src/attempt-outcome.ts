/** How one attempt at an endpoint ended, as a host tells the allocator with the release of the slot. */
export const AttemptOutcome = {
	/** A whole response with a status below 500. */
	success: 'success',
	/** A response with a status of 500 or above, or an incomplete response. */
	failure: 'failure',
	/** The endpoint said that it did not run the request. */
	refused: 'refused',
	/** No connection could be opened. */
	unreachable: 'unreachable',
	/** The connection was lost after the request was sent and before a response began. */
	crashed: 'crashed',
	/** No response before the deadline. */
	timeout: 'timeout',
	/** The host cancelled the attempt. */
	cancelled: 'cancelled',
	/** The grant was not used. */
	unused: 'unused',
} as const;

/** One of the ends of an attempt. */
export type AttemptOutcome = typeof AttemptOutcome[keyof typeof AttemptOutcome];

/** Outcomes that count against the endpoint. */
export const failedOutcomes: ReadonlySet<AttemptOutcome> = new Set([
	AttemptOutcome.failure,
	AttemptOutcome.unreachable,
	AttemptOutcome.crashed,
	AttemptOutcome.timeout,
]);

/** Outcomes of attempts that certainly did not run the request. */
export const notRunOutcomes: ReadonlySet<AttemptOutcome> = new Set([
	AttemptOutcome.refused,
	AttemptOutcome.unreachable,
	AttemptOutcome.unused,
]);
