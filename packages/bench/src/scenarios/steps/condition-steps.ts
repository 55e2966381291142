import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {z} from 'zod';
import {conditionsSchema, findUnmet} from './conditions.js';
import {createStep} from './step-handler.js';

const pollMilliseconds = 10;

/** Steps that look at what happened. */
export const conditionSteps = {
	/** Remembers the time under a name for `since`. */
	mark: createStep(z.string(), (name, {marks}) => {
		marks.set(name, Date.now());
	}),
	/** Lets time pass where its passing is what the scenario is about, for example the length of a freeze. */
	pass: createStep(z.number().positive(), async milliseconds => {
		await waitMilliseconds(milliseconds);
	}),
	'wait-until': createStep(z.strictObject({...conditionsSchema.shape, timeout: z.number().positive().default(5000)}), async ({timeout, ...conditions}, world) => {
		const end = performance.now() + timeout;
		for (;;) {
			const unmet = await findUnmet(conditions, world);
			if (unmet === undefined) {
				return;
			}

			if (performance.now() > end) {
				throw new Error(`not within ${timeout} ms: ${unmet}`);
			}

			await waitMilliseconds(pollMilliseconds);
		}
	}),
	expect: createStep(conditionsSchema, async (conditions, world) => {
		const unmet = await findUnmet(conditions, world);
		if (unmet !== undefined) {
			throw new Error(unmet);
		}
	}),
} as const;
