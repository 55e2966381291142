import {randomUUID} from 'node:crypto';
import type {CAC} from 'cac';
import {decodeResult} from '@tanagerrail/peers';
import {createFailure} from '@tanagerrail/results';
import {createAppliedOutcome} from './applied-outcome.js';
import {sendOperatorCall} from './send-operator-call.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {
	addDecisionOptions, readDecision, readTarget, type DecisionOptions,
} from './operator-options.js';

async function revertAnswers(argument: string, options: DecisionOptions): Promise<CommandOutcome> {
	const revision = Number(argument);
	if (!Number.isInteger(revision) || revision < 1) {
		return {lines: [], data: {}, failure: createFailure('usage-invalid', {reason: `${argument} is not a revision number`})};
	}

	const input = readTarget(options).andThen(target => readDecision(options).map(decision => ({target, decision})));
	if (input.isErr()) {
		return {lines: [], data: {}, failure: input.error};
	}

	const {target, decision} = input.value;
	const called = await sendOperatorCall(target, async (client, signal) => client.history.query(undefined, {signal}));
	const history = called.andThen(decodeResult);
	if (history.isErr()) {
		return {lines: [], data: {}, failure: history.error};
	}

	const request = {
		...decision,
		revision,
		base: decision.base ?? history.value.at(-1)?.revision ?? 0,
		note: decision.note === '' ? `back to revision ${revision}` : decision.note,
		token: randomUUID(),
	};
	const applied = await sendOperatorCall(target, async (client, signal) => client.revertAnswers.mutate(request, {signal}));
	return applied.isOk() ? createAppliedOutcome(applied.value, `revision ${revision}`) : {lines: [], data: {}, failure: applied.error};
}

/**
 * Registers `answers revert`.
 *
 * @param program - The command line.
 */
export function addRevertCommand(program: CAC): void {
	addDecisionOptions(program.command('answers revert <revision>', 'Apply the answers of an earlier revision as a new revision'))
		.example('  tanagerrail answers revert 3 --admin 10.0.0.1:7002 --key-file admin.key')
		.action(async (revision: string, options: DecisionOptions) => {
			printOutcome(await revertAnswers(revision, options), options.json ?? false);
		});
}
