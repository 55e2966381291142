import fs from 'node:fs';
import process from 'node:process';
import type {CAC} from 'cac';
import {checkAtLeast, checkAtMost, type TargetResult} from '../experiments/experiment.js';
import type {SentRequest} from '../scenarios/index.js';
import {chaosGroups} from './chaos-load.js';
import {runChaos, type ChaosResult} from './run-chaos.js';

type ChaosCommandOptions = {readonly seed: number; readonly duration: number; readonly json?: string};

const inconsistencyKinds = ['foreign-response', 'not-run-ran', 'ran-twice', 'invariant-violated', 'internal-error', 'revision-reverted'] as const;
const maximumShownFindings = 20;

/**
 * Registers `bench chaos`.
 *
 * @param program - The command line.
 */
export function registerChaos(program: CAC): void {
	program
		.command('chaos', 'Run mixed load while faults drawn from the seed start and end')
		.option('--seed <number>', 'Seed of the faults', {default: 1})
		.option('--duration <seconds>', 'Duration of the load', {default: 30})
		.option('--json <file>', 'Write the targets with the measured values, and the counts, to a file')
		.action(handleChaos);
}

async function handleChaos({seed, duration, json}: ChaosCommandOptions): Promise<void> {
	const result = await runChaos({
		seed,
		seconds: duration,
		onProgress(text) {
			process.stderr.write(`chaos: ${text}\n`);
		},
	});
	const targets = listTargets(result);
	const counts = countChaos(result);
	console.log(`chaos, seed ${seed}, ${duration} s`);
	console.table(counts);
	console.table(targets);
	if (json !== undefined) {
		fs.writeFileSync(json, `${JSON.stringify({
			experiment: 'chaos', seed, targets, counts, findings: describeFindings(result),
		}, undefined, '\t')}\n`);
	}

	if (targets.every(({met}) => met)) {
		return;
	}

	console.log([...describeFindings(result).slice(0, maximumShownFindings), `run again: npm run bench -- chaos --seed ${seed} --duration ${duration}`].join('\n'));
	process.exitCode = 1;
}

/**
 * Lists the targets of a chaos run.
 *
 * @param result - The run.
 * @returns One result for each kind of inconsistency, and two for reads.
 */
export function listTargets({inconsistencies, lostReads, sent}: ChaosResult): TargetResult[] {
	return [
		...inconsistencyKinds.map(kind => checkAtMost(kind, inconsistencies.filter(found => found.kind === kind).length, 0)),
		checkAtMost('reads lost that had time', lostReads.length, 0),
		checkAtLeast('reads answered', sent.filter(({plan, hasExpectedContent}) => plan.group === chaosGroups.read && hasExpectedContent).length, 1),
	];
}

/**
 * Counts the faults, the requests by group and result, and the ambiguous writes of a chaos run. A write is ambiguous if its caller
 * can't tell whether it was processed.
 *
 * @param result - The run.
 * @returns Counts, keyed by name.
 */
export function countChaos({sent, faults}: ChaosResult): Record<string, number> {
	const counts: Record<string, number> = {};
	const count = (name: string) => {
		counts[name] = (counts[name] ?? 0) + 1;
	};

	for (const request of sent) {
		count(request.plan.group);
		count(`${request.plan.group} ${describeResult(request)}`);
		if (request.plan.key !== undefined && request.hasExpectedContent === undefined && request.outcome !== 'not-run') {
			count('ambiguous writes');
		}
	}

	for (const {kind} of faults) {
		count('faults');
		count(`fault ${kind}`);
	}

	return counts;
}

function describeResult({hasExpectedContent, outcome, error}: SentRequest): string {
	if (hasExpectedContent !== undefined) {
		return 'answered';
	}

	return outcome === undefined ? (error === undefined ? 'failed at the endpoint' : 'broken') : `refused ${outcome}`;
}

function describeFindings({inconsistencies, lostReads}: ChaosResult): string[] {
	return [
		...inconsistencies.map(({kind, reason}) => `${kind}: ${reason}`),
		...lostReads.map(({plan, through, status, code, error, sentAt}) => `lost read: ${plan.target} through ${through} at ${sentAt}: ${error ?? `status ${status} code ${code}`}`),
	];
}
