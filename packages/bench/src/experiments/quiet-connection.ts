import {RequestEnd} from '@tanagerrail/stand-ins';
import {
	runVariant, updateEndpoint, Variant, type VariantRun,
} from '../fleet/index.js';
import {isAnswered} from '../load/index.js';
import {listRuns} from './analyse-runs.js';
import {
	checkAtMost, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {
	buildStandardService, describeRun, planStandardArrivals, standardFleet,
} from './standard-fleet.js';

const load = 0.6;
const silenceShare = 0.2;
const schedules = {full: {silentAt: 4000, end: 10_000}, quick: {silentAt: 1000, end: 3000}};
const detectionMilliseconds = 1000;

type Schedule = typeof schedules.full;

/**
 * Measures reads while a fifth of the open connections to endpoints become silent permanently: they stay open, but carry no data.
 *
 * @param options - Seed and length.
 * @returns Targets for lost reads and for requests on silent connections.
 */
export async function runQuietConnection({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const schedule = isQuick ? schedules.quick : schedules.full;
	const runs: Array<{variant: Variant; run: VariantRun}> = [];
	for (const variant of [Variant.product, Variant.leastInFlight]) {
		onProgress(variant);
		runs.push({variant, run: await runOnce(variant, seed, schedule)});
	}

	const {run: product} = runs[0]!;
	return {
		targets: [
			checkAtMost('lost reads', countLostReads(product), 0),
			checkAtMost('requests on silent connections from 1 s after', listSilentRequests(product).filter(at => at > schedule.silentAt + detectionMilliseconds).length, 0),
		],
		rows: runs.map(({variant, run}) => ({
			...describeRun(run, {variant}), 'lost reads': countLostReads(run), 'requests on silent connections': listSilentRequests(run).length,
		})),
		plot: {
			title: 'requests on silent connections',
			xName: 's',
			yName: 'requests',
			series: runs.map(({variant, run}) => ({name: variant, points: listSilentRequests(run).map((at, i) => [at / 1000, i + 1] as const)})),
		},
	};
}

async function runOnce(variant: Variant, seed: number, {silentAt, end}: Schedule): Promise<VariantRun> {
	return runVariant({
		variant,
		seed,
		entries: standardFleet.entries,
		testbed: {services: [buildStandardService()]},
		arrivals: planStandardArrivals({seed, load, milliseconds: end}),
		faults: [{
			at: silentAt,
			async apply({testbed}) {
				await Promise.all(testbed.endpoints.map(async endpoint => updateEndpoint(endpoint, {silenceShare})));
			},
		}],
		withRuns: true,
	});
}

/** Counts failed reads. All of them have time for a retry, because the deadline is 50 times the usual duration. */
function countLostReads({samples}: VariantRun): number {
	return samples.filter(sample => !isAnswered(sample)).length;
}

/** Lists the times of requests on silent connections, in milliseconds since the start of the run. */
function listSilentRequests({histories, startedAt}: VariantRun): number[] {
	return listRuns(histories).filter(({end}) => end === RequestEnd.unheard).map(({receivedAt}) => receivedAt - startedAt).sort((a, b) => a - b);
}
