import {RequestEnd} from '@tanagerrail/stand-ins';
import {
	runVariant, updateEndpoint, Variant, type Fleet, type VariantRun,
} from '../fleet/index.js';
import {isAnswered, planArrivals, type Arrival} from '../load/index.js';
import {listRuns} from './analyse-runs.js';
import {
	checkAtMost, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {
	buildStandardService, computeRate, describeRun, standardFleet, standardServiceName,
} from './standard-fleet.js';

const load = 0.3;
const poisonTarget = `/${standardServiceName}/poison`;
const schedules = {full: {from: 1000, every: 200, end: 8000}, quick: {from: 500, every: 100, end: 3000}};
const restartMilliseconds = 500;
const {entries} = standardFleet;

type Schedule = typeof schedules.full;

/**
 * Measures how many endpoints a poison request crashes, which is a request that crashes every endpoint that processes it, when
 * it is resent through all entry hosts.
 *
 * @param options - Seed and length.
 * @returns Targets for the crashed endpoints and for other reads.
 */
export async function runPoison({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const schedule = isQuick ? schedules.quick : schedules.full;
	const runs: Array<{variant: Variant; run: VariantRun}> = [];
	for (const variant of [Variant.product, Variant.leastInFlight]) {
		onProgress(variant);
		runs.push({variant, run: await runOnce(variant, seed, schedule)});
	}

	return {
		targets: [
			checkAtMost('endpoints that went down because of the request', countCrashes(runs[0]!.run), 2),
			checkAtMost('other reads that failed', countFailures(runs[0]!.run), 0),
		],
		rows: runs.map(({variant, run}) => ({
			...describeRun(run, {variant}, run.samples.filter(({arrival}) => arrival.kind === 'short')), crashes: countCrashes(run), 'poison sent': countPoisonRequests(run),
		})),
		plot: {
			title: 'endpoints down because of one request',
			xName: 's',
			yName: 'crashes',
			series: runs.map(({variant, run}) => ({
				name: variant,
				points: listCrashes(run).map(({receivedAt}, i) => [(receivedAt - run.startedAt) / 1000, i + 1] as const),
			})),
		},
	};
}

async function runOnce(variant: Variant, seed: number, schedule: Schedule): Promise<VariantRun> {
	const reads = planArrivals({
		seed,
		hosts: entries,
		phases: [{milliseconds: schedule.end, rate: computeRate(load)}],
		mix: [{
			kind: 'short', share: 1, path: standardServiceName, meanMilliseconds: standardFleet.meanMilliseconds,
		}],
	});
	return runVariant({
		variant,
		seed,
		entries,
		testbed: {services: [buildStandardService()]},
		arrivals: [...reads, ...planPoison(schedule)].sort((a, b) => a.at - b.at),
		faults: [{at: 0, apply: setCrashTarget}],
		withRuns: true,
	});
}

/** Plans the poison request and its resends: each goes through the next entry host, for two rounds over all hosts. */
function planPoison({from, every, end}: Schedule): Arrival[] {
	return Array.from({length: 2 * entries}, (_, i) => ({
		at: from + (i * every), kind: 'poison', host: i % entries, method: 'GET', target: poisonTarget, headers: {},
	})).filter(({at}) => at < end);
}

async function setCrashTarget({testbed}: Fleet): Promise<void> {
	await Promise.all(testbed.endpoints.map(async endpoint => updateEndpoint(endpoint, {crashTarget: poisonTarget, restartMilliseconds})));
}

function listCrashes({histories}: VariantRun) {
	return listRuns(histories).filter(({end}) => end === RequestEnd.crashed).sort((a, b) => a.receivedAt - b.receivedAt);
}

function countCrashes(run: VariantRun): number {
	return listCrashes(run).length;
}

function countPoisonRequests({samples}: VariantRun): number {
	return samples.filter(({arrival}) => arrival.kind === 'poison').length;
}

function countFailures({samples}: VariantRun): number {
	return samples.filter(sample => sample.arrival.kind === 'short' && !isAnswered(sample)).length;
}
