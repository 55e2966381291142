import process from 'node:process';
import {formatFailure, resultCodes, type Failure} from '@tanagerrail/results';
import {ExitCode, getExitCode} from './exit-codes.js';

/** Result of a command. */
export type CommandOutcome = {
	/** Output as text, one entry for each line. */
	readonly lines: readonly string[];
	/** Output as data. */
	readonly data: Readonly<Record<string, unknown>>;
	/** Reason for which the command failed. */
	readonly failure?: Failure;
};

/**
 * Prints the outcome of a command and sets the exit code of the process. With `--json`, prints one JSON object to standard
 * output, which contains an `error` with `id`, `code` and `message` if the command failed.
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
