import {runVariant, Variant, type VariantRun} from '../fleet/index.js';
import {planArrivals, type LoadPhase} from '../load/index.js';
import {
	checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {
	buildStandardService, computeRate, describeRun, readClass, standardFleet, standardServiceName,
} from './standard-fleet.js';

// With work of 100 ms, one machine can generate a demand of 15 times the capacity.
const meanMilliseconds = 100;
const baseLoad = 0.5;
// The step is ten times that of `crest`, which is 150% of the capacity.
const peakLoad = 15.5;
const budget = {probesPerSecond: 10, bytesPerSecond: 10_000};
const schedules = {full: {rest: 5000, peak: 3000, peaks: 2}, quick: {rest: 1000, peak: 1000, peaks: 1}};

type Schedule = typeof schedules.full;

/**
 * Measures the cost of load probes to endpoints while the demand changes by ten times as much as in `crest`.
 *
 * @param options - Seed and length.
 * @returns Targets for the probes and bytes in every second, and for the probes at the peak compared with those at rest.
 */
export async function runMeasuringCost({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const schedule = isQuick ? schedules.quick : schedules.full;
	onProgress('product');
	const run = await runVariant({
		variant: Variant.product,
		seed,
		entries: standardFleet.entries,
		testbed: {
			services: [buildStandardService({configuration: {workClasses: [{...readClass, usualMilliseconds: meanMilliseconds}]}})],
			configuration: {measuring: budget},
		},
		arrivals: planArrivals({
			seed,
			hosts: standardFleet.entries,
			phases: planPhases(schedule),
			mix: [{
				kind: 'short', share: 1, path: standardServiceName, meanMilliseconds,
			}],
		}),
		withRuns: true,
	});
	return buildReport(run, schedule);
}

function planPhases({rest, peak, peaks}: Schedule): LoadPhase[] {
	const pause = {milliseconds: rest, rate: computeRate(baseLoad, meanMilliseconds)};
	const high = {milliseconds: peak, rate: computeRate(peakLoad, meanMilliseconds)};
	return [pause, ...Array.from({length: peaks}, () => [high, pause]).flat()];
}

function buildReport(run: VariantRun, schedule: Schedule): ExperimentReport {
	const seconds = countProbes(run, schedule);
	const isPeak = (second: number) => (second * 1000) % (schedule.rest + schedule.peak) >= schedule.rest;
	const probesAtPeak = computeMean(seconds.filter((_, second) => isPeak(second)).map(({probes}) => probes));
	const probesAtRest = computeMean(seconds.filter((_, second) => !isPeak(second)).map(({probes}) => probes));
	return {
		targets: [
			checkAtMost('probes in the highest second', Math.max(...seconds.map(({probes}) => probes)), budget.probesPerSecond),
			checkAtMost('bytes of probes in the highest second', Math.max(...seconds.map(({bytes}) => bytes)), budget.bytesPerSecond),
			checkAtMost('probes a second at the peak above those at rest', probesAtPeak - probesAtRest, 1),
		],
		rows: [describeRun(run, {variant: 'product', 'probes/s at rest': formatFigure(probesAtRest), 'probes/s at the peak': formatFigure(probesAtPeak)})],
		plot: {
			title: 'probes', xName: 's', yName: 'probes/s', series: [{name: 'product', points: seconds.map(({probes}, second) => [second, probes] as const)}],
		},
	};
}

function countProbes({histories, startedAt}: VariantRun, {rest, peak, peaks}: Schedule): Array<{probes: number; bytes: number}> {
	const seconds = Array.from({length: (rest + (peaks * (rest + peak))) / 1000}, () => ({probes: 0, bytes: 0}));
	for (const {target, receivedAt, bytes = 0} of histories.flatMap(({runs}) => runs)) {
		const second = seconds[Math.floor((receivedAt - startedAt) / 1000)];
		if (second && target === '/-/load') {
			second.probes += 1;
			second.bytes += bytes;
		}
	}

	return seconds;
}

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
