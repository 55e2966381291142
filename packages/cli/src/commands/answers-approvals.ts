import type {CAC} from 'cac';
import {formatBounds} from '@tanagerrail/configuration';
import {decodeResult} from '@tanagerrail/peers';
import {sendOperatorCall} from './send-operator-call.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {
	addOperatorOptions, readTarget, type OperatorOptions, type OptionValue,
} from './operator-options.js';

type ApprovalsOptions = OperatorOptions & {readonly revoke?: OptionValue};

async function manageApprovals(options: ApprovalsOptions): Promise<CommandOutcome> {
	const target = readTarget(options);
	if (target.isErr()) {
		return {lines: [], data: {}, failure: target.error};
	}

	if (options.revoke !== undefined) {
		const kind = String(options.revoke);
		const called = await sendOperatorCall(target.value, async (client, signal) => client.revoke.mutate({kind}, {signal}));
		const revoked = called.andThen(decodeResult);
		return revoked.isOk()
			? {lines: [`The approval of ${kind} is revoked.`], data: {revoked: kind}}
			: {lines: [], data: {}, failure: revoked.error};
	}

	const called = await sendOperatorCall(target.value, async (client, signal) => client.approvals.query(undefined, {signal}));
	const listed = called.andThen(decodeResult);
	return listed.isOk()
		? {
			lines: listed.value.flatMap(({kind, by, at, bounds}) => [`${kind}  ${at}  ${by}`, ...bounds.map(bound => `  ${formatBounds(bound)}`)]),
			data: {approvals: listed.value},
		}
		: {lines: [], data: {}, failure: listed.error};
}

/**
 * Registers `answers approvals`.
 *
 * @param program - The command line.
 */
export function addApprovalsCommand(program: CAC): void {
	addOperatorOptions(program.command('answers approvals', 'List the recorded approvals with their bounds, or revoke one'))
		.option('--revoke <kind>', 'Revoke the approval of a kind of change, so that it is required again')
		.example('  tanagerrail answers approvals --admin 10.0.0.1:7002 --key-file admin.key --revoke deadline-keyed')
		.action(async (options: ApprovalsOptions) => {
			printOutcome(await manageApprovals(options), options.json ?? false);
		});
}
