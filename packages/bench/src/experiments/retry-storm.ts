import {
	runVariant, updateEndpoint, Variant, type Fleet, type VariantRun,
} from '../fleet/index.js';
import {collectInTime, listRuns} from './analyse-runs.js';
import {
	checkAtLeast, checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {
	buildStandardService, describeRun, planStandardArrivals, selectWindow, standardFleet,
} from './standard-fleet.js';

const load = 0.6;
const failingEndpoints = 3;
const schedules = {full: {faultAt: 3000, faultEnd: 13_000, end: 15_000}, quick: {faultAt: 500, faultEnd: 2000, end: 2500}};
const {deadlineMilliseconds} = standardFleet;

type Schedule = typeof schedules.full;

/**
 * Measures how retries amplify the load while a third of the endpoints fail for 10 s.
 *
 * @param options - Seed and length.
 * @returns Targets for the attempts per request, for attempts after the deadline, and for responses in time.
 */
export async function runRetryStorm({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const schedule = isQuick ? schedules.quick : schedules.full;
	const runs: Array<{variant: Variant; run: VariantRun}> = [];
	for (const variant of [Variant.product, Variant.leastInFlight, Variant.twoChoices]) {
		onProgress(variant);
		runs.push({variant, run: await runOnce(variant, seed, schedule)});
	}

	const {run: product} = runs[0]!;
	return {
		targets: [
			checkAtMost('attempts divided by requests', countAttempts(product) / product.samples.length, 1.1),
			checkAtMost('attempts after their deadline', countLateAttempts(product), 0),
			checkAtLeast('share of the requests answered in time while a third fails', computeGoodput(product, schedule), 0.95),
		],
		rows: runs.map(({variant, run}) => ({
			...describeRun(run, {variant}), attempts: countAttempts(run), 'late attempts': countLateAttempts(run), 'goodput in the fault': formatFigure(computeGoodput(run, schedule)),
		})),
		plot: {
			title: 'requests answered in time',
			xName: 's',
			yName: 'share',
			series: runs.map(({variant, run}) => ({name: variant, points: listGoodput(run, schedule)})),
		},
	};
}

async function runOnce(variant: Variant, seed: number, {faultAt, faultEnd, end}: Schedule): Promise<VariantRun> {
	return runVariant({
		variant,
		seed,
		entries: standardFleet.entries,
		testbed: {services: [buildStandardService()]},
		arrivals: planStandardArrivals({seed, load, milliseconds: end}),
		faults: [
			{at: faultAt, apply: async fleet => setFailing(fleet, true)},
			{at: faultEnd, apply: async fleet => setFailing(fleet, false)},
		],
		withRuns: true,
	});
}

async function setFailing({testbed}: Fleet, isFailing: boolean): Promise<void> {
	await Promise.all(testbed.endpoints.slice(0, failingEndpoints).map(async endpoint => updateEndpoint(endpoint, {isFailing})));
}

function countAttempts({histories}: VariantRun): number {
	return listRuns(histories).length;
}

/** Counts the attempts that reached an endpoint after the deadline of their request. */
function countLateAttempts({histories, samples, startedAt}: VariantRun): number {
	const deadlines = new Map(samples.map(({arrival, lateness}) => [arrival.target, startedAt + arrival.at + lateness + deadlineMilliseconds]));
	return listRuns(histories).filter(({target, receivedAt}) => receivedAt > (deadlines.get(target) ?? Infinity)).length;
}

function computeGoodput({samples}: VariantRun, {faultAt, faultEnd}: Pick<Schedule, 'faultAt' | 'faultEnd'>): number {
	const affected = selectWindow(samples, faultAt, faultEnd);
	return collectInTime(affected, deadlineMilliseconds).size / affected.length;
}

function listGoodput(run: VariantRun, {end}: Schedule): Array<readonly [number, number]> {
	const step = 500;
	return Array.from({length: end / step}, (_, i) => [
		i * step / 1000, computeGoodput(run, {faultAt: i * step, faultEnd: (i + 1) * step}),
	] as const);
}
