import {request} from 'undici';
import {
	runVariant, updateEndpoint, Variant, type Fleet, type VariantRun,
} from '../fleet/index.js';
import {summarizeSamples} from '../load/index.js';
import {computeMostInFlight, listRuns} from './analyse-runs.js';
import {
	checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport, type TargetResult,
} from './experiment.js';
import {
	buildStandardService, describeRun, planStandardArrivals, selectWindow, standardFleet,
} from './standard-fleet.js';

const load = 0.6;
const crashTarget = '/crash';
const lengths = {full: {faultAt: 4000, end: 10_000}, quick: {faultAt: 1000, end: 2500}};
const settleMilliseconds = 1000;
const detectionMilliseconds = 500;
const maximumTrials = 10;
const allowedRatio = 1.25;

type Lengths = typeof lengths.full;

/** What happens to the first endpoint in each case. */
const cases: Readonly<Record<string, (fleet: Fleet) => Promise<void>>> = {
	'ten times slower': async fleet => updateEndpoint(getFirst(fleet), {slowness: 10}),
	'failing at once': async fleet => updateEndpoint(getFirst(fleet), {isFailing: true}),
	'reports idle, three times slower': async fleet => updateEndpoint(getFirst(fleet), {reportedInFlight: 0, slowness: 3}),
	async 'restarted and cold'(fleet) {
		await updateEndpoint(getFirst(fleet), {
			crashTarget, restartMilliseconds: 200, coldMilliseconds: 1500, coldSlowness: 5,
		});
		await sendCrash(getFirst(fleet));
	},
};

type CaseRun = {readonly name: string; readonly variant: Variant; readonly run: VariantRun};

/**
 * Measures one bad endpoint among ten: slow, failing, misreporting, cold.
 *
 * @param options - Seed and length.
 * @returns Targets of what the bad endpoint gets and of p99 after one second.
 */
export async function runBadEndpoint({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const length = isQuick ? lengths.quick : lengths.full;
	const runs: CaseRun[] = [];
	for (const name of Object.keys(cases)) {
		for (const variant of [Variant.product, Variant.twoChoices]) {
			onProgress(`${variant}, ${name}`);
			runs.push({name, variant, run: await runOnce(variant, name, {seed, length})});
		}
	}

	return {
		targets: runs.filter(({variant}) => variant === Variant.product).flatMap(run => checkCase(run, length)),
		rows: runs.map(({name, variant, run}) => ({
			...describeRun(run, {case: name, variant}),
			'p99 before ms': formatFigure(readFormer(run, length)),
			'p99 from 1 s after ms': formatFigure(readLatter(run, length)),
			'bad one after 0.5 s': countLate(run, length),
		})),
		plot: {
			title: 'p99 before (0) and from 1 s after the fault (1)',
			xName: 'time',
			yName: 'ms',
			series: runs.map(({name, variant, run}) => ({name: `${variant}: ${name}`, points: [[0, readFormer(run, length)], [1, readLatter(run, length)]]})),
		},
	};
}

async function runOnce(variant: Variant, name: string, {seed, length}: {seed: number; length: Lengths}): Promise<VariantRun> {
	return runVariant({
		variant,
		seed,
		entries: standardFleet.entries,
		testbed: {services: [buildStandardService()]},
		arrivals: planStandardArrivals({seed, load, milliseconds: length.end}),
		faults: [{at: length.faultAt, apply: cases[name]!}],
		withRuns: true,
	});
}

function checkCase({name, run}: CaseRun, length: Lengths): TargetResult[] {
	const [first] = run.histories;
	return [
		...(name === 'ten times slower' ? [checkAtMost(`${name}: most requests in the endpoint`, computeMostInFlight(listRuns([first!])), standardFleet.slots)] : []),
		...(name === 'failing at once' ? [checkAtMost(`${name}: requests to the endpoint from 0.5 s after`, countLate(run, length), maximumTrials)] : []),
		checkAtMost(`${name}: p99 from 1 s after divided by p99 before`, readLatter(run, length) / readFormer(run, length), allowedRatio),
	];
}

async function sendCrash({address}: {address: string}): Promise<void> {
	try {
		await request(`http://${address}${crashTarget}`);
	} catch {
		// The crash breaks the connection of the request that causes it.
	}
}

function getFirst({testbed}: Fleet): {address: string} {
	return testbed.endpoints[0]!;
}

function countLate({histories, startedAt}: VariantRun, {faultAt}: Lengths): number {
	return listRuns(histories.slice(0, 1)).filter(({receivedAt}) => receivedAt - startedAt >= faultAt + detectionMilliseconds).length;
}

function readFormer({samples}: VariantRun, {faultAt}: Lengths): number {
	return summarizeSamples(selectWindow(samples, 0, faultAt)).p99;
}

function readLatter({samples}: VariantRun, {faultAt, end}: Lengths): number {
	return summarizeSamples(selectWindow(samples, faultAt + settleMilliseconds, end)).p99;
}
