import {soakBounds} from './soak-bounds.js';
import type {SoakFleet} from './soak-fleet.js';
import {
	SoakRequestKind, type SoakArrival, type SoakNotice, type SoakRequest,
} from './soak-history.js';

/** A request that reached an endpoint although a notice had told its host not to send it. */
export type UnwantedRequest = {readonly sent: SoakRequest; readonly notice: SoakNotice};

/**
 * Finds requests that clients sent later than the drain time after their host had passed on a response with the notice that its
 * endpoint is leaving.
 *
 * @param fleet - The fleet with its history.
 * @returns The requests.
 */
export function * findLateRequests(fleet: SoakFleet): Iterable<UnwantedRequest> {
	const {history} = fleet;
	for (const notice of history.notices.filter(({kind}) => kind === 'leaving')) {
		const answered = history.requests.get(notice.request);
		const wasPassedOn = answered?.status === 200 && answered.hasExpectedBody && history.listRuns(notice.request).length === 1;
		if (!wasPassedOn) {
			continue;
		}

		const from = answered.endedAt!;
		for (const {sent} of listArrivals(fleet, answered, notice.endpoint, from)) {
			if (sent.sentAt > from + soakBounds.drainMilliseconds) {
				yield {sent, notice};
			}
		}
	}
}

/**
 * Finds requests that reached an endpoint during a pause that it had asked for, beyond those that may have been on their way.
 *
 * @param fleet - The fleet with its history.
 * @returns The requests.
 */
export function * findRequestsInPauses(fleet: SoakFleet): Iterable<UnwantedRequest> {
	const {history} = fleet;
	for (const notice of history.notices.filter(({kind}) => kind === 'pause')) {
		const answered = history.requests.get(notice.request);
		// Other requests may be hedged or cancelled, so that their host does not read the response.
		if (answered?.kind !== SoakRequestKind.payment || answered.isCancelledEarly) {
			continue;
		}

		const until = notice.at + notice.milliseconds;
		const inPause = listArrivals(fleet, answered, notice.endpoint, notice.at)
			.filter(({arrival: {at}}) => at > notice.at + soakBounds.pauseSlackMilliseconds && at < until);
		for (const {sent} of inPause.slice(soakBounds.requestsInPause)) {
			yield {sent, notice};
		}
	}
}

/** Lists the requests of the same life of a host that reached an endpoint after a time, while no fault affected the host. */
function listArrivals({history, hosts}: SoakFleet, {host: id, incarnation}: SoakRequest, endpoint: string, from: number): Array<{sent: SoakRequest; arrival: SoakArrival}> {
	const host = hosts.find(other => other.id === id)!;
	return history.arrivals
		.filter(arrival => arrival.endpoint === endpoint && arrival.at > from)
		.map(arrival => ({arrival, sent: history.requests.get(arrival.id)}))
		.filter((item): item is {arrival: SoakArrival; sent: SoakRequest} => item.sent?.host === id && item.sent.incarnation === incarnation)
		.filter(({arrival}) => host.faults.isUndisturbed(from, arrival.at));
}
