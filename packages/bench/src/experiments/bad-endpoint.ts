import {request} from 'undici';
import {
	runVariant, updateEndpoint, Variant, type Fleet, type VariantRun,
} from '../fleet/index.js';
import {summarizeSamples} from '../load/index.js';
import {computeMaximumInFlight, listRuns} from './analyse-runs.js';
import {
	checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport, type TargetResult,
} from './experiment.js';
import {
	buildStandardService, describeRun, planStandardArrivals, selectWindow, standardFleet,
} from './standard-fleet.js';

const load = 0.6;
const crashTarget = '/crash';
const schedules = {full: {faultAt: 4000, end: 10_000}, quick: {faultAt: 1000, end: 2500}};
const recoveryMilliseconds = 1000;
const detectionMilliseconds = 500;
/** Maximum number of requests that hosts send to the failing endpoint as trials after the detection time. */
const maximumTrialRequests = 10;
const maximumP99Ratio = 1.25;

type Schedule = typeof schedules.full;

/** Faults of the first endpoint, keyed by the name of the case. */
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
 * Measures the effect of one bad endpoint among ten: slow, failing, misreporting its load, or restarted with cold caches.
 *
 * @param options - Seed and length.
 * @returns Targets for the requests to the bad endpoint and for p99 from one second after the fault.
 */
export async function runBadEndpoint({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const schedule = isQuick ? schedules.quick : schedules.full;
	const runs: CaseRun[] = [];
	for (const name of Object.keys(cases)) {
		for (const variant of [Variant.product, Variant.twoChoices]) {
			onProgress(`${variant}, ${name}`);
			runs.push({name, variant, run: await runOnce(variant, name, {seed, schedule})});
		}
	}

	return {
		targets: runs.filter(({variant}) => variant === Variant.product).flatMap(run => checkCase(run, schedule)),
		rows: runs.map(({name, variant, run}) => ({
			...describeRun(run, {case: name, variant}),
			'p99 before ms': formatFigure(computeP99Before(run, schedule)),
			'p99 from 1 s after ms': formatFigure(computeP99After(run, schedule)),
			'bad one after 0.5 s': countLateRequests(run, schedule),
		})),
		plot: {
			title: 'p99 before (0) and from 1 s after the fault (1)',
			xName: 'time',
			yName: 'ms',
			series: runs.map(({name, variant, run}) => ({name: `${variant}: ${name}`, points: [[0, computeP99Before(run, schedule)], [1, computeP99After(run, schedule)]]})),
		},
	};
}

async function runOnce(variant: Variant, name: string, {seed, schedule}: {seed: number; schedule: Schedule}): Promise<VariantRun> {
	return runVariant({
		variant,
		seed,
		entries: standardFleet.entries,
		testbed: {services: [buildStandardService()]},
		arrivals: planStandardArrivals({seed, load, milliseconds: schedule.end}),
		faults: [{at: schedule.faultAt, apply: cases[name]!}],
		withRuns: true,
	});
}

function checkCase({name, run}: CaseRun, schedule: Schedule): TargetResult[] {
	const [first] = run.histories;
	return [
		...(name === 'ten times slower' ? [checkAtMost(`${name}: most requests in the endpoint`, computeMaximumInFlight(listRuns([first!])), standardFleet.slots)] : []),
		...(name === 'failing at once' ? [checkAtMost(`${name}: requests to the endpoint from 0.5 s after`, countLateRequests(run, schedule), maximumTrialRequests)] : []),
		checkAtMost(`${name}: p99 from 1 s after divided by p99 before`, computeP99After(run, schedule) / computeP99Before(run, schedule), maximumP99Ratio),
	];
}

async function sendCrash({address}: {address: string}): Promise<void> {
	try {
		await request(`http://${address}${crashTarget}`);
	} catch {
		// The endpoint crashes without a response.
	}
}

function getFirst({testbed}: Fleet): {address: string} {
	return testbed.endpoints[0]!;
}

function countLateRequests({histories, startedAt}: VariantRun, {faultAt}: Schedule): number {
	return listRuns(histories.slice(0, 1)).filter(({receivedAt}) => receivedAt - startedAt >= faultAt + detectionMilliseconds).length;
}

function computeP99Before({samples}: VariantRun, {faultAt}: Schedule): number {
	return summarizeSamples(selectWindow(samples, 0, faultAt)).p99;
}

function computeP99After({samples}: VariantRun, {faultAt, end}: Schedule): number {
	return summarizeSamples(selectWindow(samples, faultAt + recoveryMilliseconds, end)).p99;
}
