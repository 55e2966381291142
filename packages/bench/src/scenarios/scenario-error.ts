import {createFailure, formatFailure, type Failure} from '@tanagerrail/results';

/** Position in a scenario file; line numbers start at 1. */
export type ScenarioPosition = {readonly file: string; readonly line: number};

/** Error of an invalid scenario file or a failed step. */
export class ScenarioError extends Error {
	readonly failure: Failure;

	constructor(id: 'scenario-invalid' | 'scenario-failed', {file, line}: ScenarioPosition, reason: string) {
		const failure = createFailure(id, {file, line, reason});
		super(formatFailure(failure));
		this.failure = failure;
	}
}
