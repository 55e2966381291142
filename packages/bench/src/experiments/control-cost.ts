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
// Keeps the links between the hosts in use; the processor time of so few requests is small.
const requestsPerHost = 2;
const settleMilliseconds = 2000;
const budget = {core: 0.041, megabytes: 256};

type Cost = {
	readonly hosts: number;
	/** Processor cores of a host without the allocator, median. */
	readonly medianCore: number;
	/** Processor cores of the busiest host, which is the allocator. */
	readonly highestCore: number;
	readonly megabytes: number;
	readonly failed: number;
};

/**
 * Measures what control costs each host at 15, 45 and 135 hosts, by the processor time and memory of nearly idle hosts.
 * Bytes of control are not visible from outside the processes and are not measured.
 *
 * @param options - Seed and length.
 * @returns Targets of the largest fleet, and the slope.
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
			checkAtMost(`processor cores of the median host at ${largest.hosts} hosts`, largest.medianCore, budget.core),
			checkAtMost(`processor cores of the busiest host at ${largest.hosts} hosts`, largest.highestCore, budget.core),
			checkAtMost(`largest memory of a host at ${largest.hosts} hosts, MB`, largest.megabytes, budget.megabytes),
		],
		rows: costs.map((cost, i) => describeCost(cost, costs[i - 1])),
		plot: {
			title: 'processor cores of a nearly idle host',
			xName: 'hosts',
			yName: 'cores',
			series: [
				{name: 'median host', points: costs.map(({hosts, medianCore}) => [hosts, medianCore] as const)},
				{name: 'busiest host', points: costs.map(({hosts, highestCore}) => [hosts, highestCore] as const)},
			],
		},
	};
}

async function measureCost(hosts: number, seed: number, milliseconds: number): Promise<Cost> {
	const fleet = await Fleet.start({
		variant: Variant.product, seed, entries: hosts, testbed: {services: [buildStandardService()]},
	});
	try {
		// The start of the processes must not count.
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
			medianCore: cores[Math.floor(cores.length / 2)]!,
			highestCore: cores.at(-1)!,
			megabytes: Math.max(...after.map(usage => usage!.residentBytes)) / 1e6,
			failed: samples.length - summarizeSamples(samples).answered,
		};
	} finally {
		await fleet.stop();
	}
}

function describeCost({hosts, medianCore, highestCore, megabytes, failed}: Cost, smaller: Cost | undefined): FigureRow {
	return {
		hosts,
		'median core': formatFigure(medianCore),
		'highest core': formatFigure(highestCore),
		'largest MB': Math.round(megabytes),
		failed,
		'core per 100 more hosts, median': smaller ? formatFigure((medianCore - smaller.medianCore) / (hosts - smaller.hosts) * 100) : '',
		'core per 100 more hosts, busiest': smaller ? formatFigure((highestCore - smaller.highestCore) / (hosts - smaller.hosts) * 100) : '',
		'bytes/s': 'not measured',
	};
}
