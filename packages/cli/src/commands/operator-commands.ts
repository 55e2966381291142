import type {CAC} from 'cac';
import {addApplyCommand} from './answers-apply.js';
import {addApprovalsCommand} from './answers-approvals.js';
import {addCheckCommand} from './answers-check.js';
import {addHistoryCommand} from './answers-history.js';
import {addInitCommand} from './answers-init.js';
import {addPlanCommand} from './answers-plan.js';
import {addReportCommand} from './report-command.js';
import {addRevertCommand} from './answers-revert.js';
import {addStatusCommand} from './status.js';

/**
 * Registers the operators' commands.
 *
 * @param program - The command line.
 */
export function addOperatorCommands(program: CAC): void {
	for (const add of [addInitCommand, addCheckCommand, addPlanCommand, addApplyCommand, addHistoryCommand, addRevertCommand, addApprovalsCommand, addStatusCommand, addReportCommand]) {
		add(program);
	}
}

/**
 * Joins the two words of a command into one argument, because the command-line library matches only one argument.
 *
 * @param argv - Arguments of the process.
 * @returns The arguments with, for example, `answers check` as a single argument.
 */
export function mergeCommandWords(argv: readonly string[]): string[] {
	const [node = '', script = '', first, second, ...others] = argv;
	return first === 'answers' && second !== undefined && !second.startsWith('-')
		? [node, script, `${first} ${second}`, ...others]
		: [...argv];
}
