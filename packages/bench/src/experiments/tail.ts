import type {WorkClass} from '@tanagerrail/configuration';
import {
	baselineVariants, runLoads, updateEndpoint, Variant, type PlannedFault, type VariantRun,
} from '../fleet/index.js';
import {planArrivals, RandomSource, summarizeSamples} from '../load/index.js';
import {
	checkAtLeast, checkAtMost, type ExperimentOptions, type ExperimentReport, type FigureRow, type TargetResult,
} from './experiment.js';
import {
	buildStandardService, computeRate, describeRun, readClass, standardFleet, standardServiceName,
} from './standard-fleet.js';

const loads = [0.6, 0.8, 0.9] as const;
const hedgedLoad = 0.6;
const hedgedName = 'product, hedged';
const runMilliseconds = 6000;
const quickMilliseconds = 1500;
const requestStallShare = 0.004;
const requestStallMilliseconds = 150;
const endpointStallMilliseconds = 100;
const meanEndpointStallIntervalMilliseconds = 3000;
const maximumP99Ratio = 1.15;
const minimumClosedShare = 0.75;
const maximumHedgedRatio = 0.5;
const maximumAttemptRatio = 1.02;

type TailRun = VariantRun & {readonly name: string; readonly load: number};

/**
 * Measures the tail latency of short work at 60, 80 and 90% of the slots' capacity, with rare stalls of requests and of endpoints.
 *
 * @param options - Seed and length.
 * @returns Targets for p99 compared with the bound and the best baseline, and for p99.9 with hedged reads.
 */
export async function runTail(options: ExperimentOptions): Promise<ExperimentReport> {
	const measured = options.isQuick ? [hedgedLoad] : loads;
	const runs: TailRun[] = [];
	for (const variant of Object.values(Variant)) {
		runs.push(...await runAtLoads(options, {variant, loads: measured, hedge: false}));
	}

	runs.push(...await runAtLoads(options, {variant: Variant.product, loads: [hedgedLoad], hedge: true}));
	return {
		targets: [...runs.filter(({name}) => name === Variant.product).flatMap(run => checkProduct(run, runs)), ...checkHedging(runs)],
		rows: runs.map(run => describeRun(run, {load: run.load, variant: run.name, ...describeAttempts(run)})),
		plot: {
			title: 'p99 of short work',
			xName: 'load',
			yName: 'ms',
			series: Object.values(Variant).map(name => ({name, points: runs.filter(run => run.name === name).map(run => [run.load, summarizeSamples(run.samples).p99] as const)})),
		},
	};
}

async function runAtLoads(
	{seed, isQuick, onProgress}: ExperimentOptions,
	{variant, loads: measured, hedge}: {variant: Variant; loads: readonly number[]; hedge: boolean},
): Promise<TailRun[]> {
	const name = hedge ? hedgedName : variant;
	onProgress(name);
	const milliseconds = isQuick ? quickMilliseconds : runMilliseconds;
	const workClass: WorkClass = {...readClass, hedge};
	const runs = await runLoads({
		variant,
		seed,
		entries: standardFleet.entries,
		testbed: {
			services: [buildStandardService({
				configuration: {workClasses: [workClass]},
				behaviour: {requestStallShare, requestStallMilliseconds},
			})],
		},
		loads: measured.map(load => ({
			arrivals: planArrivals({
				seed,
				hosts: standardFleet.entries,
				phases: [{milliseconds, rate: computeRate(load, standardFleet.meanMilliseconds + (requestStallShare * requestStallMilliseconds))}],
				mix: [{
					kind: 'short', share: 1, path: standardServiceName, meanMilliseconds: standardFleet.meanMilliseconds,
				}],
			}),
			faults: planEndpointStalls(seed, milliseconds),
		})),
		withRuns: true,
	});
	return runs.map((run, i) => ({...run, name, load: measured[i]!}));
}

/** Plans stalls of single endpoints, which are the same for every variant. */
function planEndpointStalls(seed: number, milliseconds: number): PlannedFault[] {
	const random = new RandomSource(seed + 1);
	const faults: PlannedFault[] = [];
	let at = random.drawExponential(meanEndpointStallIntervalMilliseconds);
	while (at < milliseconds) {
		const index = random.drawIndex(standardFleet.endpoints);
		faults.push({
			at,
			apply: async ({testbed}) => updateEndpoint(testbed.endpoints[index]!, {stallMilliseconds: endpointStallMilliseconds}),
		});
		at += random.drawExponential(meanEndpointStallIntervalMilliseconds);
	}

	return faults;
}

function checkProduct(run: TailRun, runs: readonly TailRun[]): TargetResult[] {
	const {load} = run;
	const product = readP99(run);
	const bound = readP99(findRun(runs, Variant.bound, load));
	const baseline = Math.min(...baselineVariants.map(name => readP99(findRun(runs, name, load))));
	const percent = load * 100;
	return [
		checkAtMost(`p99 of short work divided by the bound's at ${percent}%`, product / bound, maximumP99Ratio),
		...(load > hedgedLoad
			? [checkAtLeast(`share of the distance between best baseline and bound that is closed at ${percent}%`, (baseline - product) / (baseline - bound), minimumClosedShare)]
			: []),
	];
}

function checkHedging(runs: readonly TailRun[]): TargetResult[] {
	const run = findRun(runs, hedgedName, hedgedLoad);
	const bound = findRun(runs, Variant.bound, hedgedLoad);
	return [
		checkAtMost('p99.9 with hedged reads divided by the bound\'s without, at 60%', summarizeSamples(run.samples).p999 / summarizeSamples(bound.samples).p999, maximumHedgedRatio),
		checkAtMost('attempts divided by requests with hedged reads at 60%', countAttempts(run) / run.samples.length, maximumAttemptRatio),
	];
}

function findRun(runs: readonly TailRun[], name: string, load: number): TailRun {
	return runs.find(run => run.name === name && run.load === load)!;
}

function readP99(run: TailRun): number {
	return summarizeSamples(run.samples).p99;
}

function countAttempts({histories}: TailRun): number {
	return histories.reduce((sum, {runs}) => sum + runs.filter(({target}) => !target.startsWith('/-/')).length, 0);
}

function describeAttempts(run: TailRun): FigureRow {
	return {attempts: countAttempts(run)};
}
