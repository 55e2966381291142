import process from 'node:process';
import {formatFailure, resultCodes, type Failure} from '@tanagerrail/results';

/**
 * Prints failures that prevent a command from running, and sets the exit code to 1.
 *
 * @param failures - At least one failure.
 */
export function printFailures(failures: readonly Failure[]): void {
	for (const failure of failures) {
		process.stderr.write(`${resultCodes[failure.id].number} ${formatFailure(failure)}\n`);
	}

	process.exitCode = 1;
}
