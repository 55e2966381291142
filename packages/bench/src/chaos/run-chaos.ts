import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {RandomSource} from '../load/random-source.js';
import {
	Caller, collectRunRecords, EntryBalancer, findInconsistencies, Fleet, type Inconsistency, type SentRequest,
} from '../scenarios/index.js';
import type {PlannedFault} from './chaos-fault.js';
import {sendChaosLoad} from './chaos-load.js';
import {chaosServices} from './chaos-services.js';
import {findLostReads, type RecordedFault} from './find-lost-reads.js';
import {faultKinds, planFaults} from './plan-faults.js';

/** Options of {@link runChaos}. */
export type ChaosOptions = {
	readonly seed: number;
	/** Duration of the load in seconds. */
	readonly seconds: number;
	/** Script that the entry processes run instead of the product's; tests use it to disable a mechanism. */
	readonly entryScript?: string;
	/** Receives progress messages. */
	readonly onProgress: (text: string) => void;
};

/** Result of a chaos run. */
export type ChaosResult = {
	readonly sent: readonly SentRequest[];
	readonly faults: readonly RecordedFault[];
	readonly inconsistencies: readonly Inconsistency[];
	readonly lostReads: readonly SentRequest[];
};

// The last part of the load runs without faults and shows whether the fleet has recovered.
const faultFreeMilliseconds = 2000;

/**
 * Runs mixed load against several entry processes while faults drawn from the seed start and end.
 *
 * @param options - Seed and duration.
 * @returns The requests with their results, the faults, the inconsistencies with the logs of the stand-ins, and the lost reads.
 */
export async function runChaos({seed, seconds, entryScript, onProgress}: ChaosOptions): Promise<ChaosResult> {
	const fleet = await Fleet.start({
		entries: 5, services: chaosServices, settings: {shutdown: {lameDuckMilliseconds: 300, shutdownMilliseconds: 60_000}}, entryScript,
	});
	const caller = new Caller();
	const balancer = new EntryBalancer({entries: [...fleet.entries.values()]});
	const milliseconds = seconds * 1000;
	try {
		const plan = planFaults(new RandomSource(seed), {
			milliseconds: milliseconds - faultFreeMilliseconds,
			entries: [...fleet.entries.keys()],
			endpoints: Object.fromEntries(chaosServices.map(({configuration: {name}}) => [name, [...fleet.endpoints.keys()].filter(id => id.startsWith(`${name}-`))])),
		});
		onProgress(`${plan.length} faults planned`);
		const load = sendChaosLoad({
			fleet, caller, balancer, random: new RandomSource(seed + 1), milliseconds,
		});
		const faultedTargets = new Set<string>();
		const recorded = await Promise.all(plan.map(async fault => runFault(fault, {fleet, faultedTargets, onProgress})));
		const faults = recorded.filter(fault => fault !== undefined);
		onProgress('all faults have ended');
		await load;
		return {
			sent: caller.sent, faults, inconsistencies: findInconsistencies(collectRunRecords(fleet, caller.sent)), lostReads: findLostReads(caller.sent, faults),
		};
	} finally {
		balancer.stop();
		await caller.stop();
		await fleet.stop();
	}
}

type FaultContext = {readonly fleet: Fleet; readonly faultedTargets: Set<string>; readonly onProgress: (text: string) => void};

/** Runs a fault, or skips it if an earlier fault of the same target has not ended, for example because of a long graceful shutdown. */
async function runFault(fault: PlannedFault, {fleet, faultedTargets, onProgress}: FaultContext): Promise<RecordedFault | undefined> {
	const {kind, target, from, until} = fault;
	await waitMilliseconds(from);
	if (faultedTargets.has(target)) {
		return undefined;
	}

	faultedTargets.add(target);
	const beganAt = Date.now();
	onProgress(`${from} ms: ${kind} ${target}`);
	await faultKinds[kind]!.begin(fleet, fault);
	await waitMilliseconds(until - from);
	await faultKinds[kind]!.end(fleet, fault);
	faultedTargets.delete(target);
	return {...fault, beganAt, endedAt: Date.now()};
}
