import {z} from 'zod';
import {RelayCut, RelayDirection} from '@tanagerrail/stand-ins';
import type {Fleet} from '../fleet.js';
import {findEntry} from './find-process.js';
import {createStep} from './step-handler.js';

const pairSchema = z.strictObject({from: z.string(), to: z.string()});

/** Steps that cut connections between processes. */
export const networkSteps = {
	cut: createStep(pairSchema.extend({
		mode: z.enum(RelayCut).default(RelayCut.silent),
		direction: z.enum(RelayDirection).default(RelayDirection.both),
	}), ({mode, direction, ...pair}, {fleet}) => {
		fleet.mesh.disconnect({...findPair(fleet, pair), cut: mode, direction});
	}),
	/** Makes the connections that are open now silent for good; new ones work. */
	silence: createStep(pairSchema, (pair, {fleet}) => {
		const {from, to} = findPair(fleet, pair);
		fleet.mesh.disconnectOpen(from, to);
	}),
	restore: createStep(pairSchema, async (pair, {fleet}) => {
		const {from, to} = findPair(fleet, pair);
		await fleet.mesh.restore(from, to);
	}),
} as const;

type Pair = z.output<typeof pairSchema>;

function findPair(fleet: Fleet, pair: Pair): Pair {
	const from = findEntry(fleet, pair.from)?.id ?? pair.from;
	const to = findEntry(fleet, pair.to)?.id ?? pair.to;
	if (!fleet.mesh.findAddress(from, to) && !fleet.mesh.findAddress(to, from)) {
		throw new Error(`no connection between ${from} and ${to} can be cut`);
	}

	return {from, to};
}
