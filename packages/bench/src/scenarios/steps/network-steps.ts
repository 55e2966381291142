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
	/** Permanently drops all traffic on the connections that are currently open; new connections work. */
	silence: createStep(pairSchema, (pair, {fleet}) => {
		const {from, to} = findPair(fleet, pair);
		fleet.mesh.disconnectOpen(from, to);
	}),
	restore: createStep(pairSchema, async (pair, {fleet}) => {
		const {from, to} = findPair(fleet, pair);
		await fleet.mesh.restore(from, to);
	}),
} as const;

type ProcessPair = z.output<typeof pairSchema>;

function findPair(fleet: Fleet, pair: ProcessPair): ProcessPair {
	const from = findEntry(fleet, pair.from)?.id ?? pair.from;
	const to = findEntry(fleet, pair.to)?.id ?? pair.to;
	if (!fleet.mesh.findAddress(from, to) && !fleet.mesh.findAddress(to, from)) {
		throw new Error(`there is no relay between ${from} and ${to}`);
	}

	return {from, to};
}
