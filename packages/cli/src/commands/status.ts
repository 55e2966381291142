import type {CAC} from 'cac';
import type {ReportedStatus} from '@tanagerrail/peers';
import {createFailure, formatFailure} from '@tanagerrail/results';
import {sendOperatorCall} from './send-operator-call.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {addOperatorOptions, readTarget, type OperatorOptions} from './operator-options.js';

async function fetchStatus(options: OperatorOptions): Promise<CommandOutcome> {
	const target = readTarget(options);
	if (target.isErr()) {
		return {lines: [], data: {}, failure: target.error};
	}

	const hosts = await sendOperatorCall(target.value, async (client, signal) => client.status.query(undefined, {signal}));
	if (hosts.isErr()) {
		return {lines: [], data: {}, failure: hosts.error};
	}

	const unreachableHostIds = hosts.value.filter(({status}) => !status).map(({hostId}) => hostId);
	return {
		lines: hosts.value.flatMap(host => formatHost(host)),
		data: {hosts: hosts.value},
		failure: unreachableHostIds.length > 0 ? createFailure('peer-unreachable', {host: unreachableHostIds.join(', '), reason: 'no status'}) : undefined,
	};
}

function formatHost({hostId, status, failure}: ReportedStatus): string[] {
	if (!status) {
		return [`${hostId}  ${failure ? formatFailure(failure) : ''}`];
	}

	const {failureDomain, revision, isReady, peers, services, violations} = status;
	return [
		`${hostId}  ${failureDomain}  revision ${revision}  ${isReady ? 'ready' : 'not ready'}`,
		`  links: ${peers.map(peer => `${peer.hostId} ${peer.state}`).join(', ') || 'none'}`,
		...Object.entries(violations).map(([invariant, count]) => `  invariant ${invariant} violated ${count} times`),
		...Object.entries(services).flatMap(([service, endpoints]) => [
			`  allocator of ${service}`,
			...endpoints.map(({id, state, inUse, slots, reason}) => `    ${id}  ${state}  ${inUse} of ${slots} slots in use  ${reason}`),
		]),
	];
}

/**
 * Registers `status`.
 *
 * @param program - The command line.
 */
export function addStatusCommand(program: CAC): void {
	addOperatorOptions(program.command('status', 'Show each host with its revision, its links to peers and the state of each endpoint'))
		.example('  tanagerrail status --admin 10.0.0.1:7002 --key-file admin.key')
		.action(async (options: OperatorOptions) => {
			printOutcome(await fetchStatus(options), options.json ?? false);
		});
}
