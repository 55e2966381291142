import type {SentRequest} from '../scenarios/index.js';
import {FaultScope, type PlannedFault} from './chaos-fault.js';
import {chaosGroups} from './chaos-load.js';

/** A fault as it took place; times are milliseconds since the epoch. */
export type RecordedFault = PlannedFault & {readonly beganAt: number; readonly endedAt: number};

// A balancer notices within its check interval and timeout that an entry is gone, and an endpoint's faults are noticed
// within a few requests; a read sent so long after a fault had time.
const settleMilliseconds = 1500;

/**
 * Finds reads that were not answered although nothing kept them from it: neither their entry nor an endpoint of their
 * service had a fault. Faults of other entries, of links between others and of the platform are no excuse.
 *
 * @param sent - All requests of the run.
 * @param faults - All faults of the run.
 * @returns The reads.
 */
export function findLostReads(sent: readonly SentRequest[], faults: readonly RecordedFault[]): SentRequest[] {
	return sent.filter(request => request.plan.group === chaosGroups.read && request.isOwn !== true
		&& !faults.some(fault => isExcuse(fault, request)));
}

function isExcuse({scope, target, other, kind, beganAt, endedAt}: RecordedFault, {plan, through, sentAt, endedAt: requestEnd = Infinity}: SentRequest): boolean {
	if (beganAt > requestEnd || endedAt + settleMilliseconds < sentAt || scope === FaultScope.platform) {
		return false;
	}

	const [, service] = plan.target.split('/');
	return scope === FaultScope.endpoint
		? target.startsWith(`${service}-`)
		: target === through || (kind.startsWith('link-') && other === through);
}
