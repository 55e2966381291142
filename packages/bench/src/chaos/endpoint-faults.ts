import type {EndpointFaults} from '@tanagerrail/stand-ins';
import {FaultScope, type FaultKind} from './chaos-fault.js';

function createEndpointFault(faults: EndpointFaults, recovery: EndpointFaults): FaultKind {
	return {
		scope: FaultScope.endpoint,
		begin(fleet, {target}) {
			fleet.endpoints.get(target)!.standIn.update(faults);
		},
		end(fleet, {target}) {
			fleet.endpoints.get(target)!.standIn.update(recovery);
		},
	};
}

/** Faults of endpoints and of the connections to them, keyed by name. */
export const endpointFaults: Readonly<Record<string, FaultKind>> = {
	'endpoint-slow': createEndpointFault({slowness: 20}, {slowness: 1}),
	'endpoint-failing': createEndpointFault({isFailing: true}, {isFailing: false}),
	'endpoint-sheds': createEndpointFault({shedAbove: 0, slots: 1}, {shedAbove: null, slots: 3}),
	'endpoint-cuts-responses': createEndpointFault({cutAfterBytes: 100}, {cutAfterBytes: null}),
	'endpoint-misreports': createEndpointFault({reportedInFlight: 0}, {reportedInFlight: null}),
	'endpoint-stalls': createEndpointFault({stallMilliseconds: 400}, {}),
	'endpoint-killed': {
		scope: FaultScope.endpoint,
		begin(fleet, {target}) {
			fleet.endpoints.get(target)!.kill();
		},
		async end(fleet, {target}) {
			await fleet.endpoints.get(target)!.start();
		},
	},
	'endpoint-drains': {
		scope: FaultScope.endpoint,
		begin(fleet, {target}) {
			fleet.endpoints.get(target)!.standIn.update({isDraining: true});
		},
		end(fleet, {target}) {
			fleet.endpoints.get(target)!.standIn.update({isDraining: false});
		},
	},
	'connections-silent': {
		scope: FaultScope.endpoint,
		begin(fleet, {target}) {
			for (const entry of fleet.entries.keys()) {
				fleet.mesh.disconnectOpen(entry, target);
			}
		},
		end: () => undefined,
	},
};
