import {
	mainVariants, runVariant, Variant, type VariantRun,
} from '../fleet/index.js';
import {planArrivals, summarizeSamples, type Arrival} from '../load/index.js';
import {computeBusySlots} from './analyse-runs.js';
import {
	checkAtLeast, checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {
	buildStandardService, computeRate, describeRun, readClass, standardFleet, standardServiceName,
} from './standard-fleet.js';

const longPath = 'archive';
const shortMilliseconds = 10;
const longMilliseconds = 100 * shortMilliseconds;
const longWorkShare = 0.34;
const shortLoad = 0.5;
// Demand for long work exceeds its share of the slots, so that the share is the limit.
const longLoad = 0.45;
const runMilliseconds = 12_000;
const quickMilliseconds = 2000;
// Long work reaches its share only after enough of it has arrived.
const warmUpMilliseconds = 3000;
const quickWarmUpMilliseconds = 500;
const totalSlots = standardFleet.endpoints * standardFleet.slots;

type HeadOfLineRun = {readonly variant: Variant; readonly hasLongWork: boolean; readonly run: VariantRun};

/**
 * Measures how long work, which takes 100 times as long as short work, delays short work on the same endpoints.
 *
 * @param options - Seed and length.
 * @returns Targets for the p99 of short work compared with a run without long work, and for the share of long work.
 */
export async function runHeadOfLine({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const milliseconds = isQuick ? quickMilliseconds : runMilliseconds;
	const from = isQuick ? quickWarmUpMilliseconds : warmUpMilliseconds;
	const runs: HeadOfLineRun[] = [];
	for (const variant of mainVariants) {
		for (const hasLongWork of [false, true]) {
			onProgress(`${variant} ${hasLongWork ? 'with' : 'without'} long work`);
			runs.push({variant, hasLongWork, run: await runOnce(variant, planLoad(seed, milliseconds, hasLongWork), seed)});
		}
	}

	const computeP99Ratio = (variant: Variant) => computeShortP99(runs, variant, true) / computeShortP99(runs, variant, false);
	const computeLongWorkShare = (run: VariantRun) => computeBusySlots(run, {from, to: milliseconds}, ({target}) => target.startsWith(`/${longPath}/`)) / totalSlots;
	const product = runs.find(({variant, hasLongWork}) => variant === Variant.product && hasLongWork)!;
	return {
		targets: [
			checkAtMost('p99 of short work with long work divided by p99 without', computeP99Ratio(Variant.product), 1.2),
			checkAtLeast('share of the slots that long work holds on average', computeLongWorkShare(product.run), longWorkShare),
		],
		rows: runs.map(({variant, hasLongWork, run}) => ({
			...describeRun(run, {variant, long: hasLongWork ? 'yes' : 'no'}, run.samples.filter(({arrival}) => arrival.kind === 'short')),
			'long work\'s slots': formatFigure(computeLongWorkShare(run)),
		})),
		plot: {
			title: 'p99 of short work without (0) and with (1) long work',
			xName: 'long work',
			yName: 'ms',
			series: mainVariants.map(name => ({name, points: [[0, computeShortP99(runs, name, false)], [1, computeShortP99(runs, name, true)]]})),
		},
	};
}

/** Plans the arrivals; the short ones are the same with and without long work. */
function planLoad(seed: number, milliseconds: number, hasLongWork: boolean): Arrival[] {
	const {entries} = standardFleet;
	const short = planArrivals({
		seed,
		hosts: entries,
		phases: [{milliseconds, rate: computeRate(shortLoad, shortMilliseconds)}],
		mix: [{
			kind: 'short', share: 1, path: standardServiceName, meanMilliseconds: shortMilliseconds,
		}],
	});
	const long = planArrivals({
		seed: seed + 1,
		hosts: entries,
		phases: [{milliseconds, rate: computeRate(longLoad, longMilliseconds)}],
		mix: [{
			kind: 'long', share: 1, path: longPath, meanMilliseconds: longMilliseconds, longestMilliseconds: 4 * longMilliseconds, bytes: 100_000,
		}],
	});
	return [...short, ...(hasLongWork ? long : [])].sort((a, b) => a.at - b.at);
}

async function runOnce(variant: Variant, arrivals: readonly Arrival[], seed: number): Promise<VariantRun> {
	const short = {...readClass, usualMilliseconds: shortMilliseconds};
	return runVariant({
		variant,
		seed,
		entries: standardFleet.entries,
		testbed: {
			services: [buildStandardService({
				configuration: {
					longWorkShare,
					workClasses: [short, {
						...short, name: 'download', kind: 'long', priority: 'normal', usualMilliseconds: longMilliseconds, longestMilliseconds: 5000, deadlineMilliseconds: 10_000,
					}],
					routes: [
						{
							method: 'GET', path: `/${standardServiceName}/**`, workClass: short.name, idempotent: true,
						},
						{
							method: 'GET', path: `/${longPath}/**`, workClass: 'download', idempotent: true,
						},
					],
				},
			})],
		},
		arrivals,
		withRuns: true,
	});
}

function computeShortP99(runs: readonly HeadOfLineRun[], variant: Variant, hasLongWork: boolean): number {
	const {run} = runs.find(candidate => candidate.variant === variant && candidate.hasLongWork === hasLongWork)!;
	return summarizeSamples(run.samples.filter(({arrival}) => arrival.kind === 'short')).p99;
}
