import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {z} from 'zod';
import {conditionsSchema, findUnmetCondition} from './conditions.js';
import {createStep} from './step-handler.js';

const pollMilliseconds = 10;

/** Steps that wait for or check conditions. */
export const conditionSteps = {
	/** Records the current time under a name to which `since` refers. */
	mark: createStep(z.string(), (name, {marks}) => {
		marks.set(name, Date.now());
	}),
	/** Waits for a fixed time, for scenarios that depend on a duration, for example that of a freeze. */
	pass: createStep(z.number().positive(), async milliseconds => {
		await waitMilliseconds(milliseconds);
	}),
	'wait-until': createStep(z.strictObject({...conditionsSchema.shape, timeout: z.number().positive().default(5000)}), async ({timeout, ...conditions}, world) => {
		const end = performance.now() + timeout;
		for (;;) {
			const unmet = await findUnmetCondition(conditions, world);
			if (unmet === undefined) {
				return;
			}

			if (performance.now() > end) {
				throw new Error(`condition not met within ${timeout} ms: ${unmet}`);
			}

			await waitMilliseconds(pollMilliseconds);
		}
	}),
	expect: createStep(conditionsSchema, async (conditions, world) => {
		const unmet = await findUnmetCondition(conditions, world);
		if (unmet !== undefined) {
			throw new Error(unmet);
		}
	}),
} as const;
