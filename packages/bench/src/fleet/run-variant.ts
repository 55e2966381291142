import type {EndpointRequestRecord} from '@tanagerrail/stand-ins';
import {
	planArrivals, runLoad, summarizeSamples, type Arrival, type Sample,
} from '../load/index.js';
import type {EndpointAddress, ProcessUsage} from '../testbed/index.js';
import {fetchRuns, resetRuns} from './endpoint-control.js';
import {Fleet, type FleetOptions} from './fleet.js';
import {readProcessorPressure} from './read-pressure.js';
import {waitForIdleProcessors} from './wait-quiet.js';

/** A fault at a planned time of a run. */
export type PlannedFault = {
	/** Milliseconds since the start of the run. */
	readonly at: number;
	readonly apply: (fleet: Fleet) => void | Promise<void>;
};

/** A planned load with its faults. */
export type FleetLoad = {
	readonly arrivals: readonly Arrival[];
	readonly faults?: readonly PlannedFault[];
};

/** Options of {@link runVariant}. */
export type VariantOptions = FleetOptions & FleetLoad & {
	/** Whether to fetch the request logs of the endpoints at the end. */
	readonly withRuns?: boolean;
};

/** Options of {@link runLoads}. */
export type LoadsOptions = FleetOptions & {
	/** Loads that run one after the other; their faults must end by themselves. */
	readonly loads: readonly FleetLoad[];
	readonly withRuns?: boolean;
};

/** Log of the requests that an endpoint received during a run. */
export type EndpointHistory = {readonly endpoint: EndpointAddress; readonly runs: readonly EndpointRequestRecord[]};

/** Result of a run of one variant. */
export type VariantRun = {
	readonly samples: readonly Sample[];
	/** Processor cores used by all entry hosts together, on average. */
	readonly entryCores: number;
	/** Processor cores used by all endpoint processes together, on average. */
	readonly endpointCores: number;
	/** Largest resident set size of an entry host in bytes. */
	readonly entryBytes: number;
	/** Share of the run in which at least one process of the machine waited for a processor, between 0 and 1. */
	readonly processorPressure: number;
	/** Number of runs discarded before this one because the load generator was late. */
	readonly repeats: number;
	/** Start of the run in milliseconds since the epoch. */
	readonly startedAt: number;
	readonly histories: readonly EndpointHistory[];
};

const warmUpMilliseconds = 2000;
const warmUpRate = 600;
// When the load generator is later than this at p99, the latencies reflect other load on the machine, not the variant.
const maxLatenessMilliseconds = 10;
const maxRepeats = 1;

/**
 * Measures one variant: starts and warms up its processes, waits until the machine has idle processors, sends the arrivals
 * and stops the processes. A run whose load generator was late by more than 10 ms at p99 is repeated once, regardless of its
 * results.
 *
 * @param options - Variant, arrivals and faults.
 * @returns Samples and usage of the last run.
 */
export async function runVariant(options: VariantOptions): Promise<VariantRun> {
	for (let repeats = 0; ; repeats++) {
		const run = await measureOnNewFleet(options);
		if (repeats === maxRepeats || !isGeneratorLate(run)) {
			return {...run, repeats};
		}
	}
}

/**
 * Measures several loads on the same processes of one variant. A run whose load generator was late is repeated once.
 *
 * @param options - Variant and loads.
 * @returns One run for each load.
 */
export async function runLoads({loads, withRuns = false, ...options}: LoadsOptions): Promise<VariantRun[]> {
	const fleet = await Fleet.start(options);
	try {
		await warmUpFleet(fleet, options);
		const runs: VariantRun[] = [];
		for (const load of loads) {
			runs.push(await measureWithRepeats(fleet, load, withRuns));
		}

		return runs;
	} finally {
		await fleet.stop();
	}
}

async function measureWithRepeats(fleet: Fleet, load: FleetLoad, withRuns: boolean): Promise<VariantRun> {
	for (let repeats = 0; ; repeats++) {
		await waitForIdleProcessors();
		await resetAllRuns(fleet);
		const run = await measureFleet(fleet, {...load, withRuns});
		if (repeats === maxRepeats || !isGeneratorLate(run)) {
			return {...run, repeats};
		}
	}
}

async function measureOnNewFleet(options: VariantOptions): Promise<Omit<VariantRun, 'repeats'>> {
	const fleet = await Fleet.start(options);
	try {
		await warmUpFleet(fleet, options);
		await waitForIdleProcessors();
		return await measureFleet(fleet, options);
	} finally {
		await fleet.stop();
	}
}

function isGeneratorLate({samples}: Pick<VariantRun, 'samples'>): boolean {
	return summarizeSamples(samples).latenessP99 > maxLatenessMilliseconds;
}

async function resetAllRuns({testbed}: Fleet): Promise<void> {
	await Promise.all(testbed.endpoints.map(async endpoint => resetRuns(endpoint)));
}

/** Sends requests that are not measured, so that connections are open and the code is compiled by the JIT compiler. */
async function warmUpFleet(fleet: Fleet, {entries, seed, testbed}: FleetOptions): Promise<void> {
	const serviceNames = testbed.services.map(({configuration}) => configuration.name);
	await runLoad({
		addresses: fleet.addresses,
		arrivals: planArrivals({
			seed: seed + 1_000_000,
			hosts: entries,
			phases: [{milliseconds: warmUpMilliseconds, rate: warmUpRate}],
			mix: serviceNames.map(name => ({
				kind: 'warm-up', share: 1 / serviceNames.length, path: name, meanMilliseconds: 10,
			})),
		}),
	});
	await resetAllRuns(fleet);
}

async function measureFleet(fleet: Fleet, {arrivals, faults = [], withRuns = false}: FleetLoad & {withRuns?: boolean}): Promise<Omit<VariantRun, 'repeats'>> {
	const {groups, endpoints} = fleet.testbed;
	const groupProcesses = groups.map(group => group.process);
	const timers: NodeJS.Timeout[] = [];
	const before = {
		entries: readUsages(fleet.processes), groups: readUsages(groupProcesses), pressure: readProcessorPressure(), at: performance.now(),
	};
	let startedAt = 0;
	const samples = await runLoad({
		arrivals,
		addresses: fleet.addresses,
		onStart() {
			startedAt = performance.timeOrigin + performance.now();
			timers.push(...faults.map(({at, apply}) => setTimeout(() => {
				void apply(fleet);
			}, at)));
		},
	});
	for (const timer of timers) {
		clearTimeout(timer);
	}

	const elapsed = performance.now() - before.at;
	const entryUsages = readUsages(fleet.processes);
	return {
		samples,
		entryCores: computeCores(before.entries, entryUsages, elapsed),
		endpointCores: computeCores(before.groups, readUsages(groupProcesses), elapsed),
		entryBytes: Math.max(...entryUsages.map(usage => usage?.residentBytes ?? 0)),
		processorPressure: (readProcessorPressure() - before.pressure) / elapsed,
		startedAt,
		histories: withRuns ? await Promise.all(endpoints.map(async endpoint => ({endpoint, runs: await fetchRuns(endpoint)}))) : [],
	};
}

type Usages = ReadonlyArray<ProcessUsage | undefined>;

function readUsages(processes: ReadonlyArray<{readUsage(): ProcessUsage | undefined}>): Usages {
	return processes.map(child => child.readUsage());
}

function computeCores(before: Usages, after: Usages, elapsed: number): number {
	const processorTimes = after.map((usage, i) => usage ? usage.processorMilliseconds - (before[i]?.processorMilliseconds ?? 0) : 0);
	return processorTimes.reduce((sum, milliseconds) => sum + milliseconds, 0) / elapsed;
}
