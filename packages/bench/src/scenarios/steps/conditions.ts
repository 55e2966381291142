import {request} from 'undici';
import {z} from 'zod';
import {defaultServiceConfiguration} from '@tanagerrail/configuration';
import {collectRunRecords, findInconsistencies} from '../find-inconsistencies.js';
import type {ScenarioWorld} from '../scenario-world.js';
import {describeMismatch, rangeFields} from './describe-unmet.js';
import {getEndpoint, getEntry} from './find-process.js';

const conditionSchemas = {
	/** Number of matching responses of a group. */
	responses: z.strictObject({
		of: z.string().optional(), status: z.int().optional(), code: z.int().optional(), outcome: z.string().optional(), broken: z.boolean().optional(), ...rangeFields,
	}),
	/** Number of requests that endpoints started to run. */
	runs: z.strictObject({
		of: z.string().optional(), endpoint: z.string().optional(), key: z.string().optional(), since: z.string().optional(), ...rangeFields,
	}),
	/** Longest response time of a group, in milliseconds. */
	slowest: z.strictObject({of: z.string().optional(), ...rangeFields}),
	/** Number of log lines of an entry host with a given event. */
	log: z.strictObject({entry: z.string(), event: z.string(), ...rangeFields}),
	ready: z.strictObject({entry: z.string(), is: z.boolean()}),
	/** Whether the process of an entry host runs, and its exit code after a stop. */
	running: z.strictObject({entry: z.string(), is: z.boolean(), exitCode: z.int().optional()}),
	/** Number of `apply` steps, out of the given names, that ended with the given exit code and output. */
	applied: z.strictObject({
		of: z.array(z.string()), exitCode: z.int().optional(), contains: z.string().optional(), ...rangeFields,
	}),
	/** Number of load reports that all entry hosts together have fetched from endpoints since the start. */
	probes: z.strictObject({...rangeFields}),
	/** Responses agree with the logs of the stand-ins, and no entry host reports a violated invariant. */
	consistent: z.literal(true),
} as const;

/** Path of the load reports of endpoints; requests for it are not counted as runs. */
const {loadPath} = defaultServiceConfiguration;

type ConditionName = keyof typeof conditionSchemas;
type ConditionInput<N extends ConditionName> = z.output<typeof conditionSchemas[N]>;
type Check<N extends ConditionName> = (input: ConditionInput<N>, world: ScenarioWorld) => string | undefined | Promise<string | undefined>;

/** Schema of the conditions of `wait-until` and `expect`; each value is a single condition or a list. */
export const conditionsSchema = z.strictObject({
	responses: createListSchema(conditionSchemas.responses),
	runs: createListSchema(conditionSchemas.runs),
	slowest: createListSchema(conditionSchemas.slowest),
	log: createListSchema(conditionSchemas.log),
	ready: createListSchema(conditionSchemas.ready),
	running: createListSchema(conditionSchemas.running),
	applied: createListSchema(conditionSchemas.applied),
	probes: createListSchema(conditionSchemas.probes),
	consistent: createListSchema(conditionSchemas.consistent),
});

function createListSchema<S extends z.ZodType>(schema: S) {
	return z.union([schema, z.array(schema).min(1)]).optional();
}

const conditionChecks: {readonly [N in ConditionName]: Check<N>} = {
	responses({of, status, code, outcome, broken, ...range}, world) {
		const matching = world.listSent(of).filter(sent => sent.endedAt !== undefined
			&& (status === undefined || sent.status === status)
			&& (code === undefined || sent.code === code)
			&& (outcome === undefined || sent.outcome === outcome)
			&& (broken === undefined || (sent.error !== undefined) === broken));
		return describeMismatch('responses', matching.length, range, () => describeResponses(world, of));
	},
	runs({of, endpoint, key, since, ...range}, world) {
		const targets = of === undefined ? undefined : new Set(world.listSent(of).map(({plan}) => plan.target));
		const start = since === undefined ? 0 : world.marks.get(since) ?? Infinity;
		const endpoints = endpoint === undefined ? [...world.fleet.endpoints.values()] : [getEndpoint(world.fleet, endpoint)];
		const runs = endpoints.flatMap(({runs: all}) => all.filter(run => run.startedAt !== undefined && run.target !== loadPath
			&& run.startedAt >= start
			&& (key === undefined || run.key === key)
			&& (targets === undefined || targets.has(run.target))));
		return describeMismatch('runs', runs.length, range, () => describeResponses(world, of));
	},
	slowest({of, ...range}, world) {
		const times = world.listSent(of).map(({sentAt, endedAt}) => endedAt === undefined ? Infinity : endedAt - sentAt);
		return describeMismatch('slowest response in ms', Math.max(...times), range);
	},
	log({entry, event, ...range}, {fleet}) {
		const lines = fleet.readLog(getEntry(fleet, entry).id).filter(line => line.event === event);
		return describeMismatch(`log lines ${event} of ${entry}`, lines.length, range);
	},
	async ready({entry, is}, {fleet}) {
		const isReady = await checkReady(getEntry(fleet, entry).adminAddress);
		return isReady === is ? undefined : `${entry} is ${is ? 'not ' : ''}ready`;
	},
	running({entry, is, exitCode}, {fleet}) {
		const child = getEntry(fleet, entry).process;
		if (child.isRunning !== is) {
			return `${entry} is ${is ? 'not ' : ''}running`;
		}

		return exitCode === undefined || child.exitCode === exitCode ? undefined : `exit code of ${entry}: found ${child.exitCode}, expected ${exitCode}`;
	},
	applied({of, exitCode, contains, ...range}, {applied}) {
		const matching = of.filter(name => {
			const end = applied.get(name);
			return end && (exitCode === undefined || end.exitCode === exitCode) && (contains === undefined || end.output.includes(contains));
		});
		return describeMismatch('applied changes', matching.length, range, () => ` (${of.map(name => JSON.stringify(applied.get(name))).join(', ')})`);
	},
	probes(range, {fleet}) {
		const probes = [...fleet.endpoints.values()].flatMap(({runs}) => runs.filter(({target}) => target === loadPath));
		return describeMismatch('probes', probes.length, range);
	},
	consistent(_, {fleet, caller}) {
		const [first, ...others] = findInconsistencies(collectRunRecords(fleet, caller.sent));
		return first && `${first.kind}: ${first.reason}${others.length > 0 ? ` (and ${others.length} more)` : ''}`;
	},
};

/**
 * Finds the first condition that is not met.
 *
 * @param conditions - Conditions by name, validated by {@link conditionsSchema}.
 * @param world - The running scenario.
 * @returns Description of the found and the expected value, or `undefined` when all conditions are met.
 */
export async function findUnmetCondition(conditions: Readonly<Record<string, unknown>>, world: ScenarioWorld): Promise<string | undefined> {
	for (const [name, input] of Object.entries(conditions)) {
		for (const single of Array.isArray(input) ? input as unknown[] : [input]) {
			const unmet = single === undefined ? undefined : await (conditionChecks[name as ConditionName] as Check<ConditionName>)(single as never, world);
			if (unmet !== undefined) {
				return unmet;
			}
		}
	}

	return undefined;
}

async function checkReady(address: string): Promise<boolean> {
	try {
		const {statusCode, body} = await request(`http://${address}/-/ready`, {signal: AbortSignal.timeout(500)});
		await body.dump();
		return statusCode === 200;
	} catch {
		// A process that does not respond is not ready.
		return false;
	}
}

function describeResponses(world: ScenarioWorld, group: string | undefined): string {
	const counts = new Map<string, number>();
	for (const {status, code, error, endedAt} of world.listSent(group)) {
		const text = endedAt === undefined ? 'waiting' : (error ?? `status ${status}${code === undefined ? '' : ` code ${code}`}`);
		counts.set(text, (counts.get(text) ?? 0) + 1);
	}

	return ` (${[...counts].map(([text, count]) => `${count} ${text}`).join(', ')})`;
}
