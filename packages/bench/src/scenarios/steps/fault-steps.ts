import {z} from 'zod';
import {endpointFaultsSchema} from '@tanagerrail/stand-ins';
import {getEndpoint} from './find-process.js';
import {createStep} from './step-handler.js';

const storeName = z.enum(['table', 'objects']);
const platformName = z.enum([...storeName.options, 'list']);

/** Steps that inject faults into endpoints and the platform. */
export const faultSteps = {
	slow: createStep(z.strictObject({endpoint: z.string(), factor: z.number().min(0)}), ({endpoint, factor}, {fleet}) => {
		getEndpoint(fleet, endpoint).standIn.update({slowness: factor});
	}),
	/** Changes any property of an endpoint stand-in. */
	fault: createStep(endpointFaultsSchema.extend({endpoint: z.string()}), ({endpoint, ...faults}, {fleet}) => {
		getEndpoint(fleet, endpoint).standIn.update(faults);
	}),
	outage: createStep(z.strictObject({of: platformName, mode: z.enum(['refused', 'unavailable']).default('refused')}), async ({of, mode}, {fleet}) => {
		if (of === 'list') {
			fleet.setListDown(true);
			return;
		}

		await fleet[of].update({down: mode});
	}),
	'slow-store': createStep(z.strictObject({of: storeName, milliseconds: z.number().min(0)}), async ({of, milliseconds}, {fleet}) => {
		await fleet[of].update({slowMilliseconds: milliseconds});
	}),
	recover: createStep(z.strictObject({of: platformName}), async ({of}, {fleet}) => {
		if (of === 'list') {
			fleet.setListDown(false);
			return;
		}

		await fleet[of].update({down: 'none', slowMilliseconds: 0, loseResponses: 0});
	}),
	/** The next writes take effect, but their responses are lost. */
	'lose-response': createStep(z.strictObject({of: storeName.default('table'), count: z.int().min(1).default(1)}), async ({of, count}, {fleet}) => {
		await fleet[of].update({loseResponses: count});
	}),
} as const;
