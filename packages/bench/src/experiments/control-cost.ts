import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {Fleet, Variant} from '../fleet/index.js';
import {planArrivals, runLoad, summarizeSamples} from '../load/index.js';
import {
	checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport, type FigureRow,
} from './experiment.js';
import {buildStandardService, standardFleet, standardServiceName} from './standard-fleet.js';

const fleetSizes = {full: [15, 45, 135], quick: [3, 6]};
const runMilliseconds = 10_000;
const quickMilliseconds = 2000;
// Enough to keep the links between the hosts in use, while the requests themselves take little processor time.
const requestsPerHost = 2;
const settleMilliseconds = 2000;
const limits = {core: 0.041, megabytes: 256};

type Cost = {
	readonly hosts: number;
	/** Processor cores that the median host uses. */
	readonly medianCores: number;
	/** Processor cores that the busiest host, the allocator, uses. */
	readonly highestCores: number;
	/** Highest resident memory of a host. */
	readonly megabytes: number;
	readonly failed: number;
};

/**
 * Measures the cost of the control plane for each host at 15, 45 and 135 hosts, as processor time and memory of nearly idle hosts.
 * Control traffic is not visible from outside the processes, so its bytes are not measured.
 *
 * @param options - Seed and length.
 * @returns Targets for the largest fleet, and the increase of the cost with the number of hosts.
 */
export async function runControlCost({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const costs: Cost[] = [];
	for (const hosts of isQuick ? fleetSizes.quick : fleetSizes.full) {
		onProgress(`${hosts} hosts`);
		costs.push(await measureCost(hosts, seed, isQuick ? quickMilliseconds : runMilliseconds));
	}

	const largest = costs.at(-1)!;
	return {
		targets: [
			checkAtMost(`processor cores of the median host at ${largest.hosts} hosts`, largest.medianCores, limits.core),
			checkAtMost(`processor cores of the busiest host at ${largest.hosts} hosts`, largest.highestCores, limits.core),
			checkAtMost(`largest memory of a host at ${largest.hosts} hosts, MB`, largest.megabytes, limits.megabytes),
		],
		rows: costs.map((cost, i) => describeCost(cost, costs[i - 1])),
		plot: {
			title: 'processor cores of a nearly idle host',
			xName: 'hosts',
			yName: 'cores',
			series: [
				{name: 'median host', points: costs.map(({hosts, medianCores}) => [hosts, medianCores] as const)},
				{name: 'busiest host', points: costs.map(({hosts, highestCores}) => [hosts, highestCores] as const)},
			],
		},
	};
}

async function measureCost(hosts: number, seed: number, milliseconds: number): Promise<Cost> {
	const fleet = await Fleet.start({
		variant: Variant.product, seed, entries: hosts, testbed: {services: [buildStandardService()]},
	});
	try {
		// Exclude the startup of the processes from the measurement.
		await waitMilliseconds(settleMilliseconds);
		const before = fleet.processes.map(child => child.readUsage());
		const startedAt = performance.now();
		const samples = await runLoad({
			addresses: fleet.addresses,
			workers: 1,
			arrivals: planArrivals({
				seed,
				hosts,
				phases: [{milliseconds, rate: hosts * requestsPerHost}],
				mix: [{
					kind: 'short', share: 1, path: standardServiceName, meanMilliseconds: standardFleet.meanMilliseconds,
				}],
			}),
		});
		const elapsed = performance.now() - startedAt;
		const after = fleet.processes.map(child => child.readUsage());
		const cores = after.map((usage, i) => (usage!.processorMilliseconds - before[i]!.processorMilliseconds) / elapsed).sort((a, b) => a - b);
		return {
			hosts,
			medianCores: cores[Math.floor(cores.length / 2)]!,
			highestCores: cores.at(-1)!,
			megabytes: Math.max(...after.map(usage => usage!.residentBytes)) / 1e6,
			failed: samples.length - summarizeSamples(samples).answered,
		};
	} finally {
		await fleet.stop();
	}
}

function describeCost({hosts, medianCores, highestCores, megabytes, failed}: Cost, smaller: Cost | undefined): FigureRow {
	return {
		hosts,
		'median core': formatFigure(medianCores),
		'highest core': formatFigure(highestCores),
		'largest MB': Math.round(megabytes),
		failed,
		'core per 100 more hosts, median': smaller ? formatFigure((medianCores - smaller.medianCores) / (hosts - smaller.hosts) * 100) : '',
		'core per 100 more hosts, busiest': smaller ? formatFigure((highestCores - smaller.highestCores) / (hosts - smaller.hosts) * 100) : '',
		'bytes/s': 'not measured',
	};
}
