import {buildClassReport, type ClassReport, type MissingTime} from './class-report.js';
import type {LevelSnapshot} from './level-snapshot.js';

/** A host process whose counts are part of a report. */
export type CountedHost = {
	readonly hostId: string;
	readonly incarnation: string;
	/** Time of its snapshot, in milliseconds since the epoch. */
	readonly at: number;
	readonly isLive: boolean;
};

/** A host whose counts are missing, entirely or since its last snapshot. Requests in this time never count as good. */
export type MissingHost = {
	readonly hostId: string;
	readonly reason: 'no-answer' | 'stopped-without-last-snapshot';
	/** Time of its last snapshot, in milliseconds since the epoch; `undefined` if there is none. */
	readonly since: number | undefined;
	/** Longest possible time without counts, in milliseconds; `undefined` if unknown. */
	readonly missingMilliseconds: number | undefined;
};

/** Cost of the load probes to the endpoints of a service in the last ten minutes. */
export type CostReport = {
	readonly probesPerSecondAllowed: number;
	readonly bytesPerSecondAllowed: number;
	/** Largest cost in one second on one host; only the allocator of a service sends probes. */
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
	/** Keys of stored snapshots that could not be read; their counts are missing as well. */
	readonly unreadable: readonly string[];
	readonly services: ReadonlyArray<{readonly name: string; readonly cost: CostReport; readonly classes: readonly ClassReport[]}>;
};

/** Input of {@link buildLevelReport}. */
export type LevelReportInput = {
	/** Milliseconds since the epoch. */
	readonly now: number;
	/** Snapshots that running hosts returned now. */
	readonly live: readonly LevelSnapshot[];
	/** Snapshots in the object store. */
	readonly stored: readonly LevelSnapshot[];
	readonly unreadable: readonly string[];
	/** Ids of the entry hosts in the host list. */
	readonly listedHostIds: readonly string[];
};

/** Longest time between two stored snapshots of a running host, in milliseconds. */
const snapshotIntervalMilliseconds = 30_000;

/**
 * Merges the counts of all hosts. Of each incarnation only the newest snapshot counts.
 *
 * @param input - The snapshots, and the hosts that should have returned one.
 * @returns The report, which lists hosts without counts as missing.
 */
export function buildLevelReport({now, live, stored, unreadable, listedHostIds}: LevelReportInput): LevelReport {
	const liveIncarnations = new Set(live.map(({incarnation}) => incarnation));
	const snapshots = new Map<string, LevelSnapshot>();
	for (const snapshot of [...stored, ...live]) {
		const newest = snapshots.get(snapshot.incarnation);
		if (!newest || snapshot.at >= newest.at) {
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
	const answeredIds = new Set(counted.filter(({incarnation}) => liveIncarnations.has(incarnation)).map(({hostId}) => hostId));
	// A listed host that did not answer may be a new process, started after one that wrote its final snapshot, so it is missing.
	const unanswered = listedHostIds.filter(hostId => !answeredIds.has(hostId)).map(hostId => {
		const since = counted.find(snapshot => snapshot.hostId === hostId)?.at;
		return {
			hostId, reason: 'no-answer', since, missingMilliseconds: since === undefined ? undefined : now - since,
		} as const;
	});
	const unansweredIds = new Set(unanswered.map(({hostId}) => hostId));
	const withoutFinalSnapshot = counted
		.filter(({incarnation, isFinal}) => !isFinal && !liveIncarnations.has(incarnation))
		.filter((snapshot, _index, all) => !unansweredIds.has(snapshot.hostId) || all.find(({hostId}) => hostId === snapshot.hostId) !== snapshot)
		.map(({hostId, at}) => ({
			hostId, reason: 'stopped-without-last-snapshot', since: at, missingMilliseconds: Math.min(snapshotIntervalMilliseconds, now - at),
		} as const));
	return [...unanswered, ...withoutFinalSnapshot];
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
