import {runVariant, Variant, type VariantRun} from '../fleet/index.js';
import {
	computePercentile, isAnswered, planArrivals, type Arrival, type Sample, runLoad,
} from '../load/index.js';
import {buildService, shortWorkClass} from '../testbed/index.js';
import {
	checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {describeRun} from './standard-fleet.js';

/** Services and endpoint counts of the first deployment, see docs/design.md, section 1.1. */
const services = [
	{name: 'claim-status', endpoints: 10},
	{name: 'payments', endpoints: 6},
	{name: 'archive', endpoints: 10},
] as const;
const entries = 15;
const runMilliseconds = 60_000;
const quickMilliseconds = 2000;
const entryRate = 600;
const directRate = 200;
const workMilliseconds = 2;
const maximumAddedMilliseconds = 1.6;

/**
 * Measures the latency that an entry host adds at low load, compared with direct calls to the endpoints in the same run.
 *
 * @param options - Seed and length.
 * @returns Targets for the added latency and for errors.
 */
export async function runOverhead({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const milliseconds = isQuick ? quickMilliseconds : runMilliseconds;
	onProgress(`${entries} entry hosts, ${entryRate} requests/s through them and ${directRate}/s direct`);
	const direct: {samples: Promise<Sample[]>} = {samples: Promise.resolve([])};
	const run = await runVariant({
		variant: Variant.product,
		seed,
		entries,
		testbed: {
			services: services.map(({name, endpoints}) => ({
				configuration: buildService(name, {workClasses: [{...shortWorkClass, usualMilliseconds: workMilliseconds}]}), endpoints,
			})),
		},
		arrivals: planReads(seed, {milliseconds, rate: entryRate, hosts: entries}),
		faults: [{
			at: 0,
			apply({testbed}) {
				const addresses = testbed.endpoints.map(({address}) => address);
				direct.samples = runLoad({
					addresses, workers: 1, arrivals: planReads(seed + 1, {milliseconds: milliseconds - 1000, rate: directRate, hosts: addresses.length}),
				});
			},
		}],
	});
	return buildReport(run, await direct.samples);
}

function planReads(seed: number, {milliseconds, rate, hosts}: {milliseconds: number; rate: number; hosts: number}): Arrival[] {
	return planArrivals({
		seed,
		hosts,
		phases: [{milliseconds, rate}],
		mix: services.map(({name}) => ({
			kind: name, share: 1 / services.length, path: name, meanMilliseconds: workMilliseconds, isConstant: true,
		})),
	});
}

function buildReport(run: VariantRun, direct: readonly Sample[]): ExperimentReport {
	const entryDurations = collectDurations(run.samples);
	const directDurations = collectDurations(direct);
	const percentiles = [50, 90, 99, 99.9];
	const [added50, , added99] = percentiles.map(percentile => computePercentile(entryDurations, percentile) - computePercentile(directDurations, percentile));
	const errors = run.samples.filter(sample => !isAnswered(sample)).length;
	const seconds = run.samples.at(-1)!.arrival.at / 1000;
	return {
		targets: [
			checkAtMost('added latency at p50, ms', added50!, maximumAddedMilliseconds),
			checkAtMost('added latency at p99, ms', added99!, maximumAddedMilliseconds),
			checkAtMost('requests without a response of an endpoint', errors, 0),
		],
		rows: [
			describeRun(run, {path: 'through entry hosts', 'requests/s': formatFigure(run.samples.length / seconds)}),
			{
				path: 'direct', requests: direct.length, 'p50 ms': formatFigure(computePercentile(directDurations, 50)), 'p99 ms': formatFigure(computePercentile(directDurations, 99)),
			},
		],
		plot: {
			title: 'latency from the actual start',
			xName: 'percentile',
			yName: 'ms',
			series: [['through entry hosts', entryDurations], ['direct', directDurations]].map(([name, durations]) => ({
				name: name as string, points: percentiles.map(percentile => [percentile, computePercentile(durations as number[], percentile)] as const),
			})),
		},
	};
}

/** Collects latencies from the actual start, because the lateness of the load generator's timers, up to 1 ms, would mask the added latency. */
function collectDurations(samples: readonly Sample[]): number[] {
	return samples.filter(sample => isAnswered(sample)).map(({latency, lateness}) => latency - lateness);
}
