import type {EndpointRun} from '@tanagerrail/stand-ins';
import {
	planArrivals, runLoad, summarizeSamples, type Arrival, type Sample,
} from '../load/index.js';
import type {EndpointAddress, ProcessUsage} from '../testbed/index.js';
import {fetchRuns, resetRuns} from './endpoint-control.js';
import {Fleet, type FleetOptions} from './fleet.js';
import {readPressure} from './read-pressure.js';
import {waitQuiet} from './wait-quiet.js';

/** A fault at a planned time of a run. */
export type PlannedFault = {
	/** Milliseconds since the start of the run. */
	readonly at: number;
	readonly apply: (fleet: Fleet) => void | Promise<void>;
};

/** One load on a fleet. */
export type FleetLoad = {
	readonly arrivals: readonly Arrival[];
	readonly faults?: readonly PlannedFault[];
};

/** Options of {@link runVariant}. */
export type VariantOptions = FleetOptions & FleetLoad & {
	/** Whether the logs of the endpoints are read at the end. */
	readonly withRuns?: boolean;
};

/** Options of {@link runLoads}. */
export type LoadsOptions = FleetOptions & {
	/** Loads one after the other; their faults must pass by themselves. */
	readonly loads: readonly FleetLoad[];
	readonly withRuns?: boolean;
};

/** Requests that an endpoint received during a run. */
export type EndpointHistory = {readonly endpoint: EndpointAddress; readonly runs: readonly EndpointRun[]};

/** What a run of one variant gave. */
export type VariantRun = {
	readonly samples: readonly Sample[];
	/** Processor cores used by all entry hosts together, on average. */
	readonly entryCores: number;
	/** Processor cores used by the endpoints' processes. */
	readonly endpointCores: number;
	/** Largest resident set size of an entry host in bytes. */
	readonly entryBytes: number;
	/** Share of the run in which some process of the machine waited for a processor, between 0 and 1. */
	readonly processorPressure: number;
	/** Runs that were thrown away before this one because the generator was late. */
	readonly repeats: number;
	/** Start of the run in milliseconds since the epoch. */
	readonly startedAt: number;
	readonly histories: readonly EndpointHistory[];
};

const warmUpMilliseconds = 2000;
const warmUpRate = 600;
// A generator that is later than this has measured other programs of the machine and not the variant.
const latestMilliseconds = 10;
const maximumRepeats = 1;

/**
 * Measures one variant: starts it, warms it up, waits for a quiet machine, sends the
 * arrivals and stops it. A run whose generator was late by more
 * than 10 ms at p99 is repeated once, whatever its figures are.
 *
 * @param options - Variant, arrivals and faults.
 * @returns Samples and usage of the last run.
 */
export async function runVariant(options: VariantOptions): Promise<VariantRun> {
	for (let repeats = 0; ; repeats++) {
		const run = await runOnce(options);
		if (repeats === maximumRepeats || !isLate(run)) {
			return {...run, repeats};
		}
	}
}

/**
 * Measures several loads on the same processes of one variant. A load whose generator was late is repeated once.
 *
 * @param options - Variant and loads.
 * @returns One run for each load.
 */
export async function runLoads({loads, withRuns = false, ...options}: LoadsOptions): Promise<VariantRun[]> {
	const fleet = await Fleet.start(options);
	try {
		await warmFleet(fleet, options);
		const runs: VariantRun[] = [];
		for (const load of loads) {
			runs.push(await measureOnTime(fleet, load, withRuns));
		}

		return runs;
	} finally {
		await fleet.stop();
	}
}

async function measureOnTime(fleet: Fleet, load: FleetLoad, withRuns: boolean): Promise<VariantRun> {
	for (let repeats = 0; ; repeats++) {
		await waitQuiet();
		await resetAllRuns(fleet);
		const run = await measureFleet(fleet, {...load, withRuns});
		if (repeats === maximumRepeats || !isLate(run)) {
			return {...run, repeats};
		}
	}
}

async function runOnce(options: VariantOptions): Promise<Omit<VariantRun, 'repeats'>> {
	const fleet = await Fleet.start(options);
	try {
		await warmFleet(fleet, options);
		await waitQuiet();
		return await measureFleet(fleet, options);
	} finally {
		await fleet.stop();
	}
}

function isLate({samples}: Pick<VariantRun, 'samples'>): boolean {
	return summarizeSamples(samples).latenessP99 > latestMilliseconds;
}

async function resetAllRuns({testbed}: Fleet): Promise<void> {
	await Promise.all(testbed.endpoints.map(async endpoint => resetRuns(endpoint)));
}

/** Opens connections and lets the just-in-time compiler do its work; these requests are not counted. */
async function warmFleet(fleet: Fleet, {entries, seed, testbed}: FleetOptions): Promise<void> {
	const path = testbed.services.map(({configuration}) => configuration.name);
	await runLoad({
		addresses: fleet.addresses,
		arrivals: planArrivals({
			seed: seed + 1_000_000,
			hosts: entries,
			phases: [{milliseconds: warmUpMilliseconds, rate: warmUpRate}],
			mix: path.map(name => ({
				kind: 'warm-up', share: 1 / path.length, path: name, meanMilliseconds: 10,
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
		entries: readUsages(fleet.processes), groups: readUsages(groupProcesses), pressure: readPressure(), at: performance.now(),
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
		processorPressure: (readPressure() - before.pressure) / elapsed,
		startedAt,
		histories: withRuns ? await Promise.all(endpoints.map(async endpoint => ({endpoint, runs: await fetchRuns(endpoint)}))) : [],
	};
}

type Usages = ReadonlyArray<ProcessUsage | undefined>;

function readUsages(processes: ReadonlyArray<{readUsage(): ProcessUsage | undefined}>): Usages {
	return processes.map(child => child.readUsage());
}

function computeCores(before: Usages, after: Usages, elapsed: number): number {
	const used = after.map((usage, i) => usage ? usage.processorMilliseconds - (before[i]?.processorMilliseconds ?? 0) : 0);
	return used.reduce((sum, milliseconds) => sum + milliseconds, 0) / elapsed;
}
