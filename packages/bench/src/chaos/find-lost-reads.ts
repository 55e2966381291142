import type {SentRequest} from '../scenarios/index.js';
import {FaultScope, type PlannedFault} from './chaos-fault.js';
import {chaosGroups} from './chaos-load.js';

/** A fault with its actual start and end, in milliseconds since the epoch. */
export type RecordedFault = PlannedFault & {readonly beganAt: number; readonly endedAt: number};

// The balancer detects the loss of an entry within its check interval and timeout, and hosts detect a faulty endpoint within a few
// requests. A read that is sent this long after a fault must succeed.
const recoveryMilliseconds = 1500;

/**
 * Finds failed reads that no fault explains: neither their entry, a link of it, nor an endpoint of their service had a fault. Faults
 * of other entries, of links between them, and of the platform must not affect reads.
 *
 * @param sent - All requests of the run.
 * @param faults - All faults of the run.
 * @returns The lost reads.
 */
export function findLostReads(sent: readonly SentRequest[], faults: readonly RecordedFault[]): SentRequest[] {
	return sent.filter(request => request.plan.group === chaosGroups.read && request.hasExpectedContent !== true
		&& !faults.some(fault => isPossibleCause(fault, request)));
}

function isPossibleCause({scope, target, otherEntry, kind, beganAt, endedAt}: RecordedFault, {plan, through, sentAt, endedAt: requestEnd = Infinity}: SentRequest): boolean {
	if (beganAt > requestEnd || endedAt + recoveryMilliseconds < sentAt || scope === FaultScope.platform) {
		return false;
	}

	const [, service] = plan.target.split('/');
	return scope === FaultScope.endpoint
		? target.startsWith(`${service}-`)
		: target === through || (kind.startsWith('link-') && otherEntry === through);
}
