/** Earliest start of a hedge, as a fraction of the latency objective. */
const earliestHedgeShare = 0.35;

/** Start of a hedge while the usual duration is unknown, as a fraction of the latency objective. */
const defaultHedgeShare = 0.5;

/** Time left for a hedge before the latency objective, as a multiple of the usual duration. */
const hedgeDurationFactor = 1.2;

/**
 * Computes when a hedge starts: early enough for it to finish within the latency objective.
 *
 * @param objective - Latency objective of the route, in milliseconds.
 * @param usual - Usual duration of its requests in milliseconds; undefined before the first response.
 * @returns The time since the arrival of the request, in milliseconds.
 */
export function computeHedgeDelay(objective: number, usual: number | undefined): number {
	if (usual === undefined) {
		return objective * defaultHedgeShare;
	}

	return Math.max(objective * earliestHedgeShare, objective - (hedgeDurationFactor * usual));
}
