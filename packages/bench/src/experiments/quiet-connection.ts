import {RunEnd} from '@tanagerrail/stand-ins';
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
const lengths = {full: {silentAt: 4000, end: 10_000}, quick: {silentAt: 1000, end: 3000}};
const allowedMilliseconds = 1000;

type Lengths = typeof lengths.full;

/**
 * Lets a fifth of the open connections to endpoints go silent for good.
 *
 * @param options - Seed and length.
 * @returns Targets of lost reads and of the use of silent connections.
 */
export async function runQuietConnection({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const length = isQuick ? lengths.quick : lengths.full;
	const runs: Array<{variant: Variant; run: VariantRun}> = [];
	for (const variant of [Variant.product, Variant.leastInFlight]) {
		onProgress(variant);
		runs.push({variant, run: await runOnce(variant, seed, length)});
	}

	const {run: product} = runs[0]!;
	return {
		targets: [
			checkAtMost('lost reads', countLost(product), 0),
			checkAtMost('requests on silent connections from 1 s after', listUnheard(product).filter(at => at > length.silentAt + allowedMilliseconds).length, 0),
		],
		rows: runs.map(({variant, run}) => ({
			...describeRun(run, {variant}), 'lost reads': countLost(run), 'requests on silent connections': listUnheard(run).length,
		})),
		plot: {
			title: 'requests on silent connections',
			xName: 's',
			yName: 'requests',
			series: runs.map(({variant, run}) => ({name: variant, points: listUnheard(run).map((at, i) => [at / 1000, i + 1] as const)})),
		},
	};
}

async function runOnce(variant: Variant, seed: number, {silentAt, end}: Lengths): Promise<VariantRun> {
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

/** Every read has time for a second try: the deadline is 50 times the usual duration. */
function countLost({samples}: VariantRun): number {
	return samples.filter(sample => !isAnswered(sample)).length;
}

/** Times of requests on silent connections, in milliseconds since the start of the run. */
function listUnheard({histories, startedAt}: VariantRun): number[] {
	return listRuns(histories).filter(({end}) => end === RunEnd.unheard).map(({receivedAt}) => receivedAt - startedAt).sort((a, b) => a - b);
}
