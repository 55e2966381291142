import type {CAC} from 'cac';
import {decodeResult} from '@tanagerrail/peers';
import {sendOperatorCall} from './send-operator-call.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {formatPlan} from './format-plan.js';
import {
	addOperatorOptions, readTarget, readText, type OperatorOptions,
} from './operator-options.js';
import {createRefusalOutcome} from './refusal-outcome.js';

async function planAnswers(file: string, options: OperatorOptions): Promise<CommandOutcome> {
	const text = readText(file);
	const target = readTarget(options);
	if (text.isErr() || target.isErr()) {
		return {lines: [], data: {file}, failure: text.isErr() ? text.error : target._unsafeUnwrapErr()};
	}

	const called = await sendOperatorCall(target.value, async (client, signal) => client.planAnswers.mutate({answers: text.value}, {signal}));
	if (called.isErr()) {
		return {lines: [], data: {file}, failure: called.error};
	}

	const planned = decodeResult(called.value);
	return planned.isOk()
		? {lines: formatPlan(planned.value), data: {file, plan: planned.value}}
		: createRefusalOutcome(planned.error, file);
}

/**
 * Registers `answers plan`.
 *
 * @param program - The command line.
 */
export function addPlanCommand(program: CAC): void {
	addOperatorOptions(program.command('answers plan <file>', 'Show the effects of a change and whether it needs an approval'))
		.example('  tanagerrail answers plan answers.yaml --admin 10.0.0.1:7002 --key-file admin.key')
		.action(async (file: string, options: OperatorOptions) => {
			printOutcome(await planAnswers(file, options), options.json ?? false);
		});
}
