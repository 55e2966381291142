import type {CAC} from 'cac';
import {decodeResult} from '@tanagerrail/peers';
import {sendOperatorCall} from './send-operator-call.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {
	addOperatorOptions, readTarget, type OperatorOptions, type OptionValue,
} from './operator-options.js';

type HistoryOptions = OperatorOptions & {readonly show?: OptionValue};

async function fetchHistory(options: HistoryOptions): Promise<CommandOutcome> {
	const target = readTarget(options);
	if (target.isErr()) {
		return {lines: [], data: {}, failure: target.error};
	}

	if (options.show !== undefined) {
		const called = await sendOperatorCall(target.value, async (client, signal) => client.getRevision.query({revision: Number(options.show)}, {signal}));
		const found = called.andThen(decodeResult);
		return found.isOk()
			? {lines: [found.value.answers.trimEnd()], data: {record: found.value}}
			: {lines: [], data: {}, failure: found.error};
	}

	const called = await sendOperatorCall(target.value, async (client, signal) => client.history.query(undefined, {signal}));
	const listed = called.andThen(decodeResult);
	return listed.isOk()
		? {lines: listed.value.map(({revision, at, by, note}) => `${revision}  ${at}  ${by}  ${note}`.trimEnd()), data: {history: listed.value}}
		: {lines: [], data: {}, failure: listed.error};
}

/**
 * Registers `answers history`.
 *
 * @param program - The command line.
 */
export function addHistoryCommand(program: CAC): void {
	addOperatorOptions(program.command('answers history', 'List the accepted changes: revision, time, author and note'))
		.option('--show <revision>', 'Print the answers file of a revision')
		.example('  tanagerrail answers history --admin 10.0.0.1:7002 --key-file admin.key --show 3')
		.action(async (options: HistoryOptions) => {
			printOutcome(await fetchHistory(options), options.json ?? false);
		});
}
