import {RequestEnd, type EndpointRequestRecord} from '@tanagerrail/stand-ins';
import type {EndpointHistory, VariantRun} from '../fleet/index.js';
import type {Sample} from '../load/index.js';

/** A time window in milliseconds since the start of a run. */
export type TimeWindow = {readonly from: number; readonly to: number};

/**
 * Lists the callers' requests that endpoints received, without probes and other control requests.
 *
 * @param histories - Request logs of the endpoints.
 * @returns The requests.
 */
export function listRuns(histories: readonly EndpointHistory[]): EndpointRequestRecord[] {
	return histories.flatMap(({runs}) => runs.filter(({target}) => !target.startsWith('/-/')));
}

/**
 * Computes the maximum number of requests that were in flight in the endpoints at the same time.
 *
 * @param runs - Requests of the endpoints.
 * @returns Number of requests.
 */
export function computeMaximumInFlight(runs: readonly EndpointRequestRecord[]): number {
	const changes = runs
		.filter(({end}) => end !== RequestEnd.unheard)
		.flatMap(({receivedAt, endedAt = Infinity}) => [{at: receivedAt, change: 1}, {at: endedAt, change: -1}])
		// At equal times, ends are counted before starts.
		.sort((a, b) => a.at - b.at || a.change - b.change);
	let current = 0;
	let maximum = 0;
	for (const {change} of changes) {
		current += change;
		maximum = Math.max(maximum, current);
	}

	return maximum;
}

/**
 * Computes the mean number of slots that were busy with the selected requests.
 *
 * @param run - The run.
 * @param window - Time window.
 * @param isCounted - Selects the requests.
 * @returns Mean number of slots.
 */
export function computeBusySlots({histories, startedAt}: VariantRun, {from, to}: TimeWindow, isCounted: (run: EndpointRequestRecord) => boolean): number {
	let busy = 0;
	for (const run of listRuns(histories)) {
		if (run.startedAt !== undefined && isCounted(run)) {
			const start = Math.max(run.startedAt - startedAt, from);
			const end = Math.min((run.endedAt ?? Infinity) - startedAt, to);
			busy += Math.max(0, end - start);
		}
	}

	return busy / (to - from);
}

/**
 * Collects the targets of the requests that succeeded before a deadline.
 *
 * @param samples - The samples.
 * @param deadline - Deadline in milliseconds after the actual start.
 * @returns The targets.
 */
export function collectInTime(samples: readonly Sample[], deadline: number): Set<string> {
	return new Set(samples
		.filter(({status, latency, lateness}) => status === 200 && latency - lateness <= deadline)
		.map(({arrival}) => arrival.target));
}
