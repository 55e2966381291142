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
// More long work than its share, so that the share decides and not the demand.
const longLoad = 0.45;
const runMilliseconds = 12_000;
const quickMilliseconds = 2000;
// Long work holds its share only when enough of it has arrived.
const settledMilliseconds = 3000;
const quickSettledMilliseconds = 500;
const allSlots = standardFleet.endpoints * standardFleet.slots;

type LoadedRun = {readonly variant: Variant; readonly hasLong: boolean; readonly run: VariantRun};

/**
 * Measures short work beside downloads and reconciliation that take 100 times as long.
 *
 * @param options - Seed and length.
 * @returns Targets of short work's p99 against a run without long work, and of the share of long work.
 */
export async function runHeadOfLine({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const milliseconds = isQuick ? quickMilliseconds : runMilliseconds;
	const from = isQuick ? quickSettledMilliseconds : settledMilliseconds;
	const runs: LoadedRun[] = [];
	for (const variant of mainVariants) {
		for (const hasLong of [false, true]) {
			onProgress(`${variant} ${hasLong ? 'with' : 'without'} long work`);
			runs.push({variant, hasLong, run: await runOnce(variant, planLoad(seed, milliseconds, hasLong), seed)});
		}
	}

	const readRatio = (variant: Variant) => readP99(runs, variant, true) / readP99(runs, variant, false);
	const readShare = (run: VariantRun) => computeBusySlots(run, {from, to: milliseconds}, ({target}) => target.startsWith(`/${longPath}/`)) / allSlots;
	const product = runs.find(({variant, hasLong}) => variant === Variant.product && hasLong)!;
	return {
		targets: [
			checkAtMost('p99 of short work with long work divided by p99 without', readRatio(Variant.product), 1.2),
			checkAtLeast('share of the slots that long work holds on average', readShare(product.run), longWorkShare),
		],
		rows: runs.map(({variant, hasLong, run}) => ({
			...describeRun(run, {variant, long: hasLong ? 'yes' : 'no'}, run.samples.filter(({arrival}) => arrival.kind === 'short')),
			'long work\'s slots': formatFigure(readShare(run)),
		})),
		plot: {
			title: 'p99 of short work without (0) and with (1) long work',
			xName: 'long work',
			yName: 'ms',
			series: mainVariants.map(name => ({name, points: [[0, readP99(runs, name, false)], [1, readP99(runs, name, true)]]})),
		},
	};
}

/** The short arrivals are the same with and without long work. */
function planLoad(seed: number, milliseconds: number, hasLong: boolean): Arrival[] {
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
	return [...short, ...(hasLong ? long : [])].sort((a, b) => a.at - b.at);
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

function readP99(runs: readonly LoadedRun[], variant: Variant, hasLong: boolean): number {
	const {run} = runs.find(candidate => candidate.variant === variant && candidate.hasLong === hasLong)!;
	return summarizeSamples(run.samples.filter(({arrival}) => arrival.kind === 'short')).p99;
}
