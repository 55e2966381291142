import {randomUUID} from 'node:crypto';
import type {CAC} from 'cac';
import {createAppliedOutcome} from './applied-outcome.js';
import {sendOperatorCall} from './send-operator-call.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {
	addDecisionOptions, readDecision, readTarget, readText, type DecisionOptions,
} from './operator-options.js';
import {createRefusalOutcome} from './refusal-outcome.js';

async function applyAnswers(file: string, options: DecisionOptions): Promise<CommandOutcome> {
	const input = readText(file).andThen(answers => readTarget(options).andThen(target => readDecision(options).map(decision => ({answers, target, decision}))));
	if (input.isErr()) {
		return {lines: [], data: {file}, failure: input.error};
	}

	const {answers, target, decision} = input.value;
	// Reads the base revision first, so that a call retried at another host requests the same change.
	const planned = await sendOperatorCall(target, async (client, signal) => client.planAnswers.mutate({answers}, {signal}));
	if (planned.isErr()) {
		return {lines: [], data: {file}, failure: planned.error};
	}

	if (!planned.value.isOk) {
		return createRefusalOutcome(planned.value.error, file);
	}

	const {base} = planned.value.value;
	const request = {
		answers, ...decision, base: decision.base ?? base, token: randomUUID(),
	};
	const applied = await sendOperatorCall(target, async (client, signal) => client.applyAnswers.mutate(request, {signal}));
	return applied.isOk() ? createAppliedOutcome(applied.value, file) : {lines: [], data: {file}, failure: applied.error};
}

/**
 * Registers `answers apply`.
 *
 * @param program - The command line.
 */
export function addApplyCommand(program: CAC): void {
	addDecisionOptions(program.command('answers apply <file>', 'Apply an answers file on all hosts'))
		.example('  tanagerrail answers apply answers.yaml --admin 10.0.0.1:7002,10.0.0.2:7002 --key-file admin.key --base 4 --approve deadline-keyed')
		.action(async (file: string, options: DecisionOptions) => {
			printOutcome(await applyAnswers(file, options), options.json ?? false);
		});
}
