import {randomUUID} from 'node:crypto';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {z} from 'zod';
import type {ScenarioWorld} from '../scenario-world.js';
import type {RequestPlan} from '../sent-request.js';
import {getEntry} from './find-process.js';
import {createStep} from './step-handler.js';

const throughSchema = z.union([z.string(), z.array(z.string()).min(1)]);

const sendSchema = z.strictObject({
	as: z.string().default('requests'),
	service: z.string(),
	class: z.string().default('read'),
	/** Entry hosts, used in round-robin order. */
	through: throughSchema,
	count: z.int().min(1).default(1),
	/** Interval between requests in milliseconds; 0 sends all at once. */
	every: z.number().min(0).default(0),
	key: z.string().optional(),
	/** Last segment of the target path; by default random for each request. */
	id: z.string().optional(),
	body: z.string().optional(),
	takes: z.number().min(0).default(10),
	bodyTakes: z.number().min(0).default(0),
	bytes: z.int().min(0).optional(),
	within: z.number().positive().optional(),
	wait: z.boolean().default(true),
});

const resendSchema = z.strictObject({
	of: z.string(),
	as: z.string().default('resends'),
	through: throughSchema,
	every: z.number().min(0).default(0),
	wait: z.boolean().default(true),
});

type SendOptions = {readonly through: string | readonly string[]; readonly every: number; readonly wait: boolean};

/** Steps that send requests. */
export const trafficSteps = {
	send: createStep(sendSchema, async (input, world) => {
		await sendAll(Array.from({length: input.count}, (_, i) => buildPlan(input, world, i)), input, world);
	}),
	/** Sends the requests of a group again, with the same key, target and body. */
	resend: createStep(resendSchema, async (input, world) => {
		await sendAll(world.listSent(input.of).map(({plan}) => ({...plan, group: input.as})), input, world);
	}),
	/** Waits until all requests sent so far have ended. */
	'wait-responses': createStep(z.null(), async (_, {pending}) => {
		await Promise.all(pending);
	}),
} as const;

function buildPlan(input: z.output<typeof sendSchema>, {scenario}: ScenarioWorld, index: number): RequestPlan {
	const workClass = scenario.services[input.service]?.classes[input.class];
	if (!workClass) {
		throw new Error(`service ${input.service} has no class ${input.class}`);
	}

	return {
		group: input.as,
		method: workClass.method,
		target: `/${input.service}/${input.class}/${input.id ?? randomUUID()}`,
		body: input.body ?? (workClass.method === 'GET' ? '' : `request ${index} of ${input.as}`),
		key: workClass.idempotent ? undefined : (input.key ?? randomUUID()),
		workMilliseconds: input.takes,
		bodyMilliseconds: input.bodyTakes,
		bytes: input.bytes,
		within: input.within,
	};
}

async function sendAll(plans: readonly RequestPlan[], {through, every, wait}: SendOptions, world: ScenarioWorld): Promise<void> {
	const entries = (typeof through === 'string' ? [through] : through).map(id => getEntry(world.fleet, id));
	const all = sendPlans(plans, async (plan, i) => world.caller.send(plan, entries[i % entries.length]!), every);
	world.track(all);
	if (wait) {
		await all;
	}
}

async function sendPlans(plans: readonly RequestPlan[], send: (plan: RequestPlan, index: number) => Promise<unknown>, every: number): Promise<void> {
	const requests: Array<Promise<unknown>> = [];
	for (const [i, plan] of plans.entries()) {
		requests.push(send(plan, i));
		if (every > 0) {
			await waitMilliseconds(every);
		}
	}

	await Promise.all(requests);
}
