import {z} from 'zod';
import {RelayCut, RelayDirection} from '@tanagerrail/stand-ins';
import type {RelayMesh} from '../relay-mesh.js';
import {createStep} from './step-handler.js';

const pairSchema = z.strictObject({from: z.string(), to: z.string()});

/** Steps that cut connections between processes. */
export const networkSteps = {
	cut: createStep(pairSchema.extend({
		mode: z.enum(RelayCut).default(RelayCut.silent),
		direction: z.enum(RelayDirection).default(RelayDirection.both),
	}), ({from, to, mode, direction}, {fleet}) => {
		assertPair(fleet.mesh, {from, to});
		fleet.mesh.disconnect({
			from, to, cut: mode, direction,
		});
	}),
	/** Makes the connections that are open now silent for good; new ones work. */
	silence: createStep(pairSchema, (pair, {fleet}) => {
		assertPair(fleet.mesh, pair);
		fleet.mesh.disconnectOpen(pair.from, pair.to);
	}),
	restore: createStep(pairSchema, ({from, to}, {fleet}) => {
		assertPair(fleet.mesh, {from, to});
		fleet.mesh.restore(from, to);
	}),
} as const;

function assertPair(mesh: RelayMesh, {from, to}: z.output<typeof pairSchema>): void {
	if (!mesh.findAddress(from, to) && !mesh.findAddress(to, from)) {
		throw new Error(`no connection between ${from} and ${to} can be cut`);
	}
}
