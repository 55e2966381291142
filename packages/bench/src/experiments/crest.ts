import {resultCodes} from '@tanagerrail/results';
import {
	mainVariants, runVariant, Variant, type VariantRun,
} from '../fleet/index.js';
import {
	computePercentile, planArrivals, summarizeSamples, type LoadPhase, type Sample,
} from '../load/index.js';
import {
	collectInTime, computeBusySlots, type TimeWindow,
} from './analyse-runs.js';
import {
	checkAtLeast, checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport, type TargetResult,
} from './experiment.js';
import {
	buildStandardService, computeRate, describeRun, readClass, selectWindow, standardFleet, standardServiceName,
} from './standard-fleet.js';

const batchPath = 'claim-status-batch';
const baseLoad = 0.5;
const crestLoad = 2;
const readShare = 0.4;
const rampMilliseconds = 50;
const {deadlineMilliseconds, slots, endpoints} = standardFleet;
const windowMilliseconds = 1000;
const schedules = {
	full: {rest: 4000, crest: 5000, crests: 2},
	quick: {rest: 1500, crest: 1000, crests: 1},
};

type Schedule = typeof schedules.full;

/**
 * Measures crests, which are periods of overload: the demand rises from 50 to 200% of the slots' capacity within 50 ms. The load
 * consists of reads and batch work.
 *
 * @param options - Seed and length.
 * @returns Targets for the responses in time during the crests, for refusals, and for the recovery after the crests.
 */
export async function runCrest({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const schedule = isQuick ? schedules.quick : schedules.full;
	const crests = listCrests(schedule);
	const runs: Array<{variant: Variant; run: VariantRun}> = [];
	for (const variant of mainVariants) {
		onProgress(variant);
		runs.push({variant, run: await runOnce(variant, seed, schedule)});
	}

	return {
		targets: checkRun(runs.find(({variant}) => variant === Variant.product)!.run, crests),
		rows: runs.map(({variant, run}) => ({
			...describeRun(run, {variant}),
			'crest slots in time': formatFigure(computeLowestBusyShare(run, crests)),
			'crest reads in time': formatFigure(computeAnsweredReadShare(run, crests)),
		})),
		plot: {
			title: 'slots busy with responses in time', xName: 's', yName: 'slots', series: runs.map(({variant, run}) => ({name: variant, points: listBusySlots(run, schedule)})),
		},
	};
}

async function runOnce(variant: Variant, seed: number, schedule: Schedule): Promise<VariantRun> {
	return runVariant({
		variant,
		seed,
		entries: standardFleet.entries,
		testbed: {
			services: [buildStandardService({
				configuration: {
					workClasses: [readClass, {...readClass, name: 'batch', priority: 'batch'}],
					routes: [
						{
							method: 'GET', path: `/${standardServiceName}/**`, workClass: readClass.name, idempotent: true,
						},
						{
							method: 'GET', path: `/${batchPath}/**`, workClass: 'batch', idempotent: true,
						},
					],
				},
			})],
		},
		arrivals: planArrivals({
			seed,
			hosts: standardFleet.entries,
			phases: planPhases(schedule),
			mix: [
				{
					kind: 'read', share: readShare, path: standardServiceName, meanMilliseconds: standardFleet.meanMilliseconds,
				},
				{
					kind: 'batch', share: 1 - readShare, path: batchPath, meanMilliseconds: standardFleet.meanMilliseconds,
				},
			],
		}),
		withRuns: true,
	});
}

function planPhases({rest, crest, crests}: Schedule): LoadPhase[] {
	const pause = {milliseconds: rest, rate: computeRate(baseLoad)};
	const ramp = {milliseconds: rampMilliseconds, rate: computeRate((baseLoad + crestLoad) / 2)};
	const peak = {milliseconds: crest, rate: computeRate(crestLoad)};
	return [pause, ...Array.from({length: crests}, () => [ramp, peak, pause]).flat()];
}

function listCrests({rest, crest, crests}: Schedule): TimeWindow[] {
	return Array.from({length: crests}, (_, i) => {
		const from = rest + rampMilliseconds + (i * (rampMilliseconds + crest + rest));
		return {from, to: from + crest};
	});
}

function checkRun(run: VariantRun, crests: readonly TimeWindow[]): TargetResult[] {
	const {samples} = run;
	const refusals = samples.filter(({code}) => code > 0);
	const immediateRefusals = refusals.filter(({code}) => code === resultCodes['queue-full'].number);
	const p99Before = computeReadP99(selectWindow(samples, 0, crests[0]!.from - rampMilliseconds));
	const p99After = crests.map(({to}) => computeReadP99(selectWindow(samples, to + windowMilliseconds, to + (3 * windowMilliseconds))));
	return [
		checkAtLeast('share of the slots busy with responses in time, lowest second of a crest', computeLowestBusyShare(run, crests), 0.95),
		checkAtLeast('share of the reads answered in time at the crests', computeAnsweredReadShare(run, crests), 0.95),
		checkAtMost('time to a refusal on arrival at p99, ms', computePercentile(collectLatencies(immediateRefusals), 99), 5),
		checkAtMost('median time to a refusal divided by the deadline', computePercentile(collectLatencies(refusals), 50) / deadlineMilliseconds, 0.1),
		checkAtMost('p99 of reads from 1 s after a crest divided by p99 before', Math.max(...p99After) / p99Before, 1.25),
	];
}

function computeLowestBusyShare(run: VariantRun, crests: readonly TimeWindow[]): number {
	const inTime = collectInTime(run.samples, deadlineMilliseconds);
	const shares = crests.flatMap(({from, to}) => listWindows(from, to)
		.map(window => computeBusySlots(run, window, ({target}) => inTime.has(target)) / (slots * endpoints)));
	return Math.min(...shares);
}

function computeAnsweredReadShare({samples}: VariantRun, crests: readonly TimeWindow[]): number {
	const reads = crests.flatMap(({from, to}) => selectReads(selectWindow(samples, from, to)));
	return collectInTime(reads, deadlineMilliseconds).size / reads.length;
}

function listBusySlots(run: VariantRun, {rest, crest, crests}: Schedule): Array<readonly [number, number]> {
	const inTime = collectInTime(run.samples, deadlineMilliseconds);
	return listWindows(0, rest + (crests * (rest + crest)))
		.map(window => [window.from / 1000, computeBusySlots(run, window, ({target}) => inTime.has(target))] as const);
}

function listWindows(from: number, to: number): TimeWindow[] {
	return Array.from({length: Math.floor((to - from) / windowMilliseconds)}, (_, i) => ({
		from: from + (i * windowMilliseconds), to: from + ((i + 1) * windowMilliseconds),
	}));
}

function selectReads(samples: readonly Sample[]): Sample[] {
	return samples.filter(({arrival}) => arrival.kind === 'read');
}

function computeReadP99(samples: readonly Sample[]): number {
	return summarizeSamples(selectReads(samples)).p99;
}

function collectLatencies(samples: readonly Sample[]): number[] {
	return samples.map(({latency, lateness}) => latency - lateness);
}
