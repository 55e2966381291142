import type {Refusal} from '@tanagerrail/configuration';
import {decodeResult, type AppliedReach, type WireResult} from '@tanagerrail/peers';
import {createFailure} from '@tanagerrail/results';
import type {CommandOutcome} from './command-outcome.js';
import {formatPlan} from './format-plan.js';
import {createRefusalOutcome} from './refusal-outcome.js';

/**
 * Builds the command outcome of an applied or refused change.
 *
 * @param wire - Response of the host.
 * @param file - Name of the answers file, or of the earlier revision.
 * @returns The revision and the hosts on which it is in force; failure `not-in-force` lists the hosts that have not confirmed it.
 */
export function createAppliedOutcome(wire: WireResult<AppliedReach, Refusal>, file: string): CommandOutcome {
	const applied = decodeResult(wire);
	if (applied.isErr()) {
		return createRefusalOutcome(applied.error, file);
	}

	const {record: {revision, by, at, note}, plan, reach} = applied.value;
	const {inForce, missing, milliseconds} = reach;
	return {
		lines: [
			...formatPlan(plan, true),
			`Revision ${revision} was accepted and is in force on ${inForce.length} of ${inForce.length + missing.length} live hosts after ${Math.round(milliseconds)} ms.`,
		],
		data: {
			revision, by, at, note, plan, reach,
		},
		failure: missing.length > 0 ? createFailure('not-in-force', {revision, hosts: missing.join(', ')}) : undefined,
	};
}
