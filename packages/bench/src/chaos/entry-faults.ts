import {RelayCut, RelayDirection} from '@tanagerrail/stand-ins';
import type {Fleet} from '../scenarios/index.js';
import type {EntryProcess} from '../testbed/index.js';
import {FaultScope, type FaultKind, type PlannedFault} from './chaos-fault.js';

function getEntry(fleet: Fleet, {target}: PlannedFault): EntryProcess {
	return fleet.entries.get(target)!;
}

async function restart(fleet: Fleet, fault: PlannedFault): Promise<void> {
	const entry = getEntry(fleet, fault);
	await entry.process.waitForExit();
	entry.restart();
	await entry.waitUntilReady();
}

function createCut(cut: RelayCut, direction: RelayDirection): FaultKind {
	return {
		scope: FaultScope.entry,
		begin(fleet, {target, otherEntry}) {
			fleet.mesh.disconnect({
				from: target, to: otherEntry, cut, direction,
			});
		},
		async end(fleet, {target, otherEntry}) {
			await fleet.mesh.restore(target, otherEntry);
		},
	};
}

/** Faults of entry processes and of the links between them, keyed by name. */
export const entryFaults: Readonly<Record<string, FaultKind>> = {
	'entry-killed': {
		scope: FaultScope.entry,
		begin(fleet, fault) {
			getEntry(fleet, fault).process.kill();
		},
		end: restart,
	},
	'entry-frozen': {
		scope: FaultScope.entry,
		begin(fleet, fault) {
			getEntry(fleet, fault).process.freeze();
		},
		end(fleet, fault) {
			getEntry(fleet, fault).process.resume();
		},
	},
	'entry-stopped': {
		scope: FaultScope.entry,
		begin(fleet, fault) {
			getEntry(fleet, fault).process.requestStop();
		},
		end: restart,
	},
	'link-silent': createCut(RelayCut.silent, RelayDirection.both),
	'link-silent-one-way': createCut(RelayCut.silent, RelayDirection.back),
	'link-reset': createCut(RelayCut.reset, RelayDirection.both),
};
