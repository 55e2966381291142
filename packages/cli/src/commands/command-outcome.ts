import process from 'node:process';
import {formatFailure, resultCodes, type Failure} from '@tanagerrail/results';
import {ExitCode, getExitCode} from './exit-codes.js';

/** What a command found. */
export type CommandOutcome = {
	/** Output as text, one entry for each line. */
	readonly lines: readonly string[];
	/** Output as data. */
	readonly data: Readonly<Record<string, unknown>>;
	/** Why the command did not succeed. */
	readonly failure?: Failure;
};

/**
 * Prints the outcome of a command and sets the exit code of the process. With `--json` one JSON object goes to standard
 * output, with `code` and `message` when the command failed.
 *
 * @param outcome - The outcome.
 * @param isJson - Whether `--json` was given.
 */
export function printOutcome({lines, data, failure}: CommandOutcome, isJson: boolean): void {
	process.exitCode = failure ? getExitCode(failure.id) : ExitCode.success;
	const error = failure && {id: failure.id, code: resultCodes[failure.id].number, message: formatFailure(failure)};
	if (isJson) {
		process.stdout.write(`${JSON.stringify({...data, ...(error && {error})})}\n`);
		return;
	}

	if (lines.length > 0) {
		process.stdout.write(`${lines.join('\n')}\n`);
	}

	if (error) {
		process.stderr.write(`${error.message} (${error.id}, code ${error.code})\n`);
	}
}
