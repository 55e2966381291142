import type {PlatformFaults} from '@tanagerrail/stand-ins';
import type {Fleet} from '../scenarios/index.js';
import {FaultScope, type FaultKind} from './chaos-fault.js';

const stores = ['table', 'objects'] as const;

async function updateStore(fleet: Fleet, target: string, faults: Partial<PlatformFaults>): Promise<void> {
	await fleet[target === 'table' ? 'table' : 'objects'].update(faults);
}

function createStoreFault(faults: Partial<PlatformFaults>, recovery: Partial<PlatformFaults>): FaultKind {
	return {
		scope: FaultScope.platform,
		targets: stores,
		async begin(fleet, {target}) {
			await updateStore(fleet, target, faults);
		},
		async end(fleet, {target}) {
			await updateStore(fleet, target, recovery);
		},
	};
}

/** Faults of the table service, the object store and the host list, keyed by name. */
export const platformFaults: Readonly<Record<string, FaultKind>> = {
	'store-refuses-connections': createStoreFault({down: 'refused'}, {down: 'none'}),
	'store-unavailable': createStoreFault({down: 'unavailable'}, {down: 'none'}),
	'store-slow': createStoreFault({slowMilliseconds: 1500}, {slowMilliseconds: 0}),
	'store-loses-responses': createStoreFault({loseResponses: 5}, {loseResponses: 0}),
	'store-fails-writes': createStoreFault({failWrites: 5}, {failWrites: 0}),
	'host-list-down': {
		scope: FaultScope.platform,
		targets: ['list'],
		begin(fleet) {
			fleet.setListDown(true);
		},
		end(fleet) {
			fleet.setListDown(false);
		},
	},
};
