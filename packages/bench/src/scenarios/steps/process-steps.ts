import {z} from 'zod';
import {getEndpoint, getEntry} from './find-process.js';
import {createStep} from './step-handler.js';

const processId = z.string().regex(/^[\w\-]+$/v);

/** Steps that start, stop, freeze and drain processes. */
export const processSteps = {
	start: createStep(processId, async (id, {fleet}) => {
		const endpoint = fleet.endpoints.get(id);
		if (endpoint) {
			await endpoint.start();
			return;
		}

		const entry = getEntry(fleet, id);
		entry.restart();
		await entry.waitUntilReady();
	}),
	kill: createStep(processId, async (id, {fleet}) => {
		const endpoint = fleet.endpoints.get(id);
		if (endpoint) {
			endpoint.kill();
			return;
		}

		const entry = getEntry(fleet, id);
		entry.process.kill();
		await entry.process.waitForExit();
	}),
	freeze: createStep(processId, (id, {fleet}) => {
		getEntry(fleet, id).process.freeze();
	}),
	resume: createStep(processId, (id, {fleet}) => {
		getEntry(fleet, id).process.resume();
	}),
	/** Starts a graceful shutdown of an entry host without waiting for its end. */
	stop: createStep(processId, (id, {fleet}) => {
		getEntry(fleet, id).process.requestStop();
	}),
	/** Drains an endpoint: it is marked as leaving in its responses, in the host list, or in both. */
	drain: createStep(z.strictObject({endpoint: processId, notice: z.enum(['response', 'list', 'both']).default('both')}), ({endpoint, notice}, {fleet}) => {
		const {standIn} = getEndpoint(fleet, endpoint);
		if (notice !== 'list') {
			standIn.update({isDraining: true});
		}

		if (notice !== 'response') {
			fleet.setLeaving(endpoint, true);
		}
	}),
} as const;
