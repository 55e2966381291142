import {formatProblem, type Refusal} from '@tanagerrail/configuration';
import {formatFailure} from '@tanagerrail/results';
import type {CommandOutcome} from './command-outcome.js';
import {formatPlan} from './format-plan.js';

/**
 * Builds the command outcome of a refused change: the problems of the answers, the plan that needs an approval, or the
 * conflicting change of another operator.
 *
 * @param refusal - The refusal.
 * @param file - Name of the answers file.
 * @returns The outcome of the command.
 */
export function createRefusalOutcome({failure, problems = [], plan, otherChange}: Refusal, file: string): CommandOutcome {
	const lines = [
		...problems.map(problem => formatProblem(problem, file)),
		...(otherChange ? [`${formatFailure(failure)} ${otherChange.note}`.trim(), ...otherChange.changes.map(text => `  - ${text}`)] : []),
		...(plan && failure.id === 'approval-required' ? formatPlan(plan) : []),
	];
	return {
		lines, failure, data: {
			file, problems, plan, otherChange,
		},
	};
}
