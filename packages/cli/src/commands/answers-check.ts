import type {CAC} from 'cac';
import {formatProblem, parseAnswers} from '@tanagerrail/configuration';
import {createFailure} from '@tanagerrail/results';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {readText} from './operator-options.js';

/**
 * Validates an answers file.
 *
 * @param file - Path of the file.
 * @returns All problems; failures `answers-invalid` and `settings-unreadable`.
 */
export function checkAnswers(file: string): CommandOutcome {
	const text = readText(file);
	if (text.isErr()) {
		return {lines: [], data: {file}, failure: text.error};
	}

	const parsed = parseAnswers(text.value);
	if (parsed.isOk()) {
		return {lines: [`${file}: no problems found, services: ${parsed.value.services.length}`], data: {file, problems: []}};
	}

	const problems = parsed.error;
	return {
		lines: problems.map(problem => formatProblem(problem, file)),
		data: {file, problems},
		failure: createFailure('answers-invalid', {reason: `${problems.length} ${problems.length === 1 ? 'problem' : 'problems'}`}),
	};
}

/**
 * Registers `answers check`.
 *
 * @param program - The command line.
 */
export function addCheckCommand(program: CAC): void {
	program.command('answers check <file>', 'Report all problems in an answers file')
		.option('--json', 'Print one JSON object')
		.example('  tanagerrail answers check answers.yaml')
		.action((file: string, {json = false}: {json?: boolean}) => {
			printOutcome(checkAnswers(file), json);
		});
}
