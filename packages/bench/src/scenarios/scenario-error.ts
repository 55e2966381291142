import {createFailure, formatFailure, type Failure} from '@tanagerrail/results';

/** Place in a scenario file; lines start at 1. */
export type ScenarioPosition = {readonly file: string; readonly line: number};

/** A scenario file that is invalid, or a step that did not hold. */
export class ScenarioError extends Error {
	readonly failure: Failure;

	constructor(id: 'scenario-invalid' | 'scenario-failed', {file, line}: ScenarioPosition, reason: string) {
		const failure = createFailure(id, {file, line, reason});
		super(formatFailure(failure));
		this.failure = failure;
	}
}
