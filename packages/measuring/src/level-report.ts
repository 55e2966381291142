import {buildClassReport, type ClassReport, type MissingTime} from './class-report.js';
import type {LevelSnapshot} from './level-snapshot.js';

/** A host whose counts are part of a report. */
export type CountedHost = {
	readonly hostId: string;
	readonly incarnation: string;
	/** Time of its counts, in milliseconds since the epoch. */
	readonly at: number;
	readonly isLive: boolean;
};

/** A host whose counts are missing, in whole or since its last snapshot; its requests never count as good. */
export type MissingHost = {
	readonly hostId: string;
	readonly reason: 'no-answer' | 'stopped-without-last-snapshot';
	/** Time of its last counts, in milliseconds since the epoch; nothing when there are none. */
	readonly since: number | undefined;
	/** Longest time without counts, in milliseconds; nothing when it is not known. */
	readonly missingMilliseconds: number | undefined;
};

/** What measuring the endpoints of a service cost in the last ten minutes. */
export type CostReport = {
	readonly probesPerSecondAllowed: number;
	readonly bytesPerSecondAllowed: number;
	/** Largest cost of one second on one host; only a service's allocator probes. */
	readonly peakMessages: number;
	readonly peakBytes: number;
	readonly messages: number;
	readonly bytes: number;
	readonly processorMilliseconds: number;
};

/** Service levels of all services. */
export type LevelReport = {
	/** Milliseconds since the epoch. */
	readonly at: number;
	readonly hosts: readonly CountedHost[];
	readonly missing: readonly MissingHost[];
	/** Keys of stored snapshots that could not be read; their counts are missing, too. */
	readonly unreadable: readonly string[];
	readonly services: ReadonlyArray<{readonly name: string; readonly cost: CostReport; readonly classes: readonly ClassReport[]}>;
};

/** What {@link buildLevelReport} works with. */
export type LevelReportInput = {
	/** Milliseconds since the epoch. */
	readonly now: number;
	/** Snapshots of hosts that answered now. */
	readonly live: readonly LevelSnapshot[];
	/** Snapshots in the object store. */
	readonly stored: readonly LevelSnapshot[];
	readonly unreadable: readonly string[];
	/** Entry hosts in the host list. */
	readonly listedHostIds: readonly string[];
};

/** Longest time between two stored snapshots of a host that runs, in milliseconds. */
const snapshotMilliseconds = 30_000;

/**
 * Merges the counts of all hosts. Each incarnation counts once, with its newest snapshot.
 *
 * @param input - Snapshots and the hosts that should have answered.
 * @returns The report; hosts without an answer are named as missing.
 */
export function buildLevelReport({now, live, stored, unreadable, listedHostIds}: LevelReportInput): LevelReport {
	const liveIncarnations = new Set(live.map(({incarnation}) => incarnation));
	const snapshots = new Map<string, LevelSnapshot>();
	for (const snapshot of [...stored, ...live]) {
		const known = snapshots.get(snapshot.incarnation);
		if (!known || snapshot.at >= known.at) {
			snapshots.set(snapshot.incarnation, snapshot);
		}
	}

	const counted = [...snapshots.values()].sort((left, right) => right.at - left.at);
	const missing = listMissing({
		counted, liveIncarnations, listedHostIds, now,
	});
	const missingTime: MissingTime = {
		countedHosts: new Set(counted.map(({hostId}) => hostId)).size,
		milliseconds: unreadable.length > 0 ? Infinity : missing.reduce((sum, {missingMilliseconds}) => sum + (missingMilliseconds ?? Infinity), 0),
	};
	const serviceNames = new Set(counted.flatMap(({services}) => services.map(({name}) => name)));
	return {
		at: now,
		hosts: counted.map(({hostId, incarnation, at}) => ({
			hostId, incarnation, at, isLive: liveIncarnations.has(incarnation),
		})),
		missing,
		unreadable,
		services: [...serviceNames].sort().map(name => buildServiceReport(name, counted, now, missingTime)),
	};
}

type MissingInput = {
	readonly counted: readonly LevelSnapshot[];
	readonly liveIncarnations: ReadonlySet<string>;
	readonly listedHostIds: readonly string[];
	readonly now: number;
};

function listMissing({counted, liveIncarnations, listedHostIds, now}: MissingInput): MissingHost[] {
	const answered = new Set(counted.filter(({incarnation}) => liveIncarnations.has(incarnation)).map(({hostId}) => hostId));
	// A listed host without an answer may be a new process after one that wrote its last snapshot, so it counts as missing.
	const silent = listedHostIds.filter(hostId => !answered.has(hostId)).map(hostId => {
		const since = counted.find(snapshot => snapshot.hostId === hostId)?.at;
		return {
			hostId, reason: 'no-answer', since, missingMilliseconds: since === undefined ? undefined : now - since,
		} as const;
	});
	const silentIds = new Set(silent.map(({hostId}) => hostId));
	const killed = counted
		.filter(({incarnation, isFinal}) => !isFinal && !liveIncarnations.has(incarnation))
		.filter((snapshot, _index, all) => !silentIds.has(snapshot.hostId) || all.find(({hostId}) => hostId === snapshot.hostId) !== snapshot)
		.map(({hostId, at}) => ({
			hostId, reason: 'stopped-without-last-snapshot', since: at, missingMilliseconds: Math.min(snapshotMilliseconds, now - at),
		} as const));
	return [...silent, ...killed];
}

function buildServiceReport(name: string, counted: readonly LevelSnapshot[], now: number, missing: MissingTime): LevelReport['services'][number] {
	const parts = counted.flatMap(({services}) => services.filter(service => service.name === name));
	const classNames = new Set(parts.flatMap(({classes}) => classes.map(workClass => workClass.name)));
	const costs = parts.flatMap(part => part.costs);
	return {
		name,
		cost: {
			probesPerSecondAllowed: parts[0]!.probesPerSecond,
			bytesPerSecondAllowed: parts[0]!.bytesPerSecond,
			peakMessages: Math.max(0, ...costs.map(({peakMessages}) => peakMessages)),
			peakBytes: Math.max(0, ...costs.map(({peakBytes}) => peakBytes)),
			messages: costs.reduce((sum, {messages}) => sum + messages, 0),
			bytes: costs.reduce((sum, {bytes}) => sum + bytes, 0),
			processorMilliseconds: costs.reduce((sum, {processorMilliseconds}) => sum + processorMilliseconds, 0),
		},
		classes: [...classNames].sort().map(className => buildClassReport(parts.flatMap(({classes}) => classes.filter(workClass => workClass.name === className)), now, missing)),
	};
}
