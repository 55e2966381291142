import {
	StartupBehavior, answersSchema, ShutdownNotice, Priority, serviceAnswersSchema, WorkKind, type Answers, type ServiceAnswers,
} from '@tanagerrail/configuration';

/** The answers that are written to a new file. */
export type DraftAnswers = Omit<Answers, 'services'> & {readonly services: readonly DraftService[]};

/** The answers about one service that are written to a new file. */
export type DraftService = Pick<ServiceAnswers, 'name' | 'purpose' | 'longWorkShare' | 'missingKey' | 'classes' | 'requests' | 'promises'> & {
	readonly servers: Pick<ServiceAnswers['servers'], 'count' | 'slots' | 'connections' | 'openMilliseconds' | 'reportsLoad' | 'leaving' | 'arriving'>;
};

type WorkClassDraft = ServiceAnswers['classes'][number];

/** Prints one question and returns the typed line. */
export type AskText = (question: string) => Promise<string>;

/** Validates one value; the subset of a Zod schema that is used here. */
type ValueSchema<T> = {safeParse(value: unknown): {success: true; data: T} | {success: false; error: {issues: ReadonlyArray<{message: string}>}}};

const {shape: {topology, measuring, tableWritesPerSecond, routineChanges, organization}} = answersSchema;
const {shape: {name: serviceName, servers: serverSchema, longWorkShare, classes, requests, promises, missingKey}} = serviceAnswersSchema;
const {shape: classShape} = classes.element;
const {shape: requestShape} = requests.element;
const {shape: promiseShape} = promises.unwrap().element;

/** Answers that are written when there is no terminal; in a terminal they are the proposed values. */
export const defaultAnswers: DraftAnswers = {
	organization: 'Example team',
	topology: {
		regions: 1, failureDomains: 3, entryHosts: {fewest: 13, most: 18}, betweenDomainsMilliseconds: 0.5, toClientsMilliseconds: 8,
	},
	measuring: {probesPerSecond: 10, bytesPerSecond: 4000},
	tableWritesPerSecond: 120,
	routineChanges: [{change: 'deadline', upTo: 0.25}, {change: 'duration', upTo: 0.5}],
	services: [{
		name: 'service-one',
		purpose: 'What the service is for.',
		servers: {
			count: 10, slots: 3, connections: 200, openMilliseconds: 1, reportsLoad: true, leaving: ShutdownNotice.drainingNotice, arriving: StartupBehavior.cold,
		},
		classes: [
			{
				name: 'read', kind: WorkKind.short, priority: Priority.interactive, usualMilliseconds: 10, longestMilliseconds: 500, deadlineMilliseconds: 2000, hedge: true,
			},
			{
				name: 'batch', kind: WorkKind.long, priority: Priority.batch, usualMilliseconds: 1000, longestMilliseconds: 30_000, deadlineMilliseconds: 120_000, hedge: false,
			},
		],
		requests: [
			{
				method: 'GET', path: '/service-one/batches/**', class: 'batch', idempotent: true,
			},
			{
				method: 'GET', path: '/service-one/**', class: 'read', idempotent: true,
			},
		],
		longWorkShare: 0.3,
		missingKey: 'refuse',
		promises: [{
			class: 'read', latencyMilliseconds: 200, objective: 0.999, windowDays: 28,
		}],
	}],
};

/**
 * Asks for all values of the answers file in turn. Repeats a question until the value is valid.
 *
 * @param askText - Prints one question and returns the typed line.
 * @returns The answers.
 */
export async function askAnswers(askText: AskText): Promise<DraftAnswers> {
	const ask = createPrompt(askText);
	const {topology: proposed, measuring: budget} = defaultAnswers;
	const draft = {
		organization: await ask('Name of the organization', organization, defaultAnswers.organization),
		topology: {
			regions: await ask('Number of regions', topology.shape.regions, proposed.regions),
			failureDomains: await ask('Number of failure domains', topology.shape.failureDomains, proposed.failureDomains),
			entryHosts: {
				fewest: await ask('Smallest number of entry hosts', topology.shape.entryHosts.shape.fewest, proposed.entryHosts.fewest),
				most: await ask('Largest number of entry hosts', topology.shape.entryHosts.shape.most, proposed.entryHosts.most),
			},
			betweenDomainsMilliseconds: await ask('One-way delay between failure domains in ms', topology.shape.betweenDomainsMilliseconds, proposed.betweenDomainsMilliseconds),
			toClientsMilliseconds: await ask('One-way delay to clients in ms', topology.shape.toClientsMilliseconds, proposed.toClientsMilliseconds),
		},
		measuring: {
			probesPerSecond: await ask('Load probes per second for each service', measuring.shape.probesPerSecond, budget.probesPerSecond),
			bytesPerSecond: await ask('Bytes per second for load probes of each service', measuring.shape.bytesPerSecond, budget.bytesPerSecond),
		},
		tableWritesPerSecond: await ask('Writes per second to the table service', tableWritesPerSecond, defaultAnswers.tableWritesPerSecond),
	};
	const changeSchema = routineChanges.unwrap().element;
	const routine = await askList(ask, 'routine change', async () => ({
		change: await ask('Kind of change', changeSchema.shape.change, 'deadline'),
		upTo: await ask('Largest relative change that needs no approval', changeSchema.shape.upTo, 0.25),
	}));
	return {...draft, routineChanges: routine, services: await askList(ask, 'service', async () => askService(ask), 1)};
}

type Prompt = <T>(question: string, schema: ValueSchema<T>, proposal: T) => Promise<T>;

function createPrompt(askText: AskText): Prompt {
	return async (question, schema, proposal) => {
		let prefix = '';
		for (;;) {
			const typed = await askText(`${prefix}${question} [${String(proposal)}]: `);
			const text = typed.trim();
			const checked = schema.safeParse(text === '' ? proposal : convertText(text));
			if (checked.success) {
				return checked.data;
			}

			prefix = `${checked.error.issues.map(({message}) => message).join('; ')}\n`;
		}
	};
}

const booleanWords: Readonly<Record<string, boolean>> = {
	true: true, yes: true, y: true, false: false, no: false, n: false,
};

function convertText(text: string): string | number | boolean {
	return booleanWords[text.toLowerCase()] ?? (Number.isNaN(Number(text)) ? text : Number(text));
}

async function askList<T>(ask: Prompt, name: string, askItem: () => Promise<T>, minimumCount = 0): Promise<T[]> {
	const items: T[] = [];
	while (items.length < minimumCount || await ask(`Add ${items.length === 0 ? 'a' : 'another'} ${name}? (yes or no)`, classShape.hedge, false)) {
		items.push(await askItem());
	}

	return items;
}

async function askService(ask: Prompt): Promise<DraftService> {
	const proposed = defaultAnswers.services[0]!;
	const {shape} = serverSchema;
	const name = await ask('Name of the service', serviceName, proposed.name);
	const purpose = await ask('Purpose of the service', serviceAnswersSchema.shape.purpose, '');
	const servers = {
		count: await ask('Number of servers', shape.count, proposed.servers.count),
		slots: await ask('Concurrent requests per server', shape.slots, proposed.servers.slots),
		connections: await ask('Connections per server', shape.connections, proposed.servers.connections),
		openMilliseconds: await ask('Time to open a connection in ms', shape.openMilliseconds, proposed.servers.openMilliseconds),
		reportsLoad: await ask('Does a server report its own load? (yes or no)', shape.reportsLoad, true),
		leaving: await ask('How servers leave (draining-notice, host-list, unannounced)', shape.leaving, proposed.servers.leaving),
		arriving: await ask('How servers arrive (cold, warm)', shape.arriving, proposed.servers.arriving),
	};
	const workClasses = await askList(ask, 'work class', async () => askClass(ask), 1);
	const first = workClasses[0]!.name;
	const routes = await askList(ask, 'kind of request', async () => ({
		method: await ask('Method (* for any)', requestShape.method, 'GET'),
		path: await ask('Path pattern', requestShape.path, `/${name}/**`),
		class: await ask('Work class', requestShape.class, first),
		idempotent: await ask('Is it idempotent, so that it may run twice? (yes or no)', requestShape.idempotent, true),
	}), 1);
	return {
		name,
		purpose,
		servers,
		classes: workClasses,
		requests: routes,
		longWorkShare: await ask('Share of the slots that long work may occupy', longWorkShare, proposed.longWorkShare),
		missingKey: await ask('Requests that must not run twice and have no key (refuse, single-attempt)', missingKey, proposed.missingKey),
		promises: await askList(ask, 'promised service level', async () => ({
			class: await ask('Work class', promiseShape.class, first),
			latencyMilliseconds: await ask('Latency in ms', promiseShape.latencyMilliseconds, 200),
			objective: await ask('Share of responses within this latency', promiseShape.objective, 0.999),
			windowDays: await ask('Window in days', promiseShape.windowDays, 28),
		})),
	};
}

async function askClass(ask: Prompt): Promise<WorkClassDraft> {
	const proposed = defaultAnswers.services[0]!.classes[0]!;
	return {
		name: await ask('Name of the work class', classShape.name, proposed.name),
		kind: await ask('Kind (short, long)', classShape.kind, proposed.kind),
		priority: await ask('Priority (interactive, normal, batch)', classShape.priority, proposed.priority),
		usualMilliseconds: await ask('Usual duration in ms', classShape.usualMilliseconds, proposed.usualMilliseconds),
		longestMilliseconds: await ask('Longest duration in ms', classShape.longestMilliseconds, proposed.longestMilliseconds),
		deadlineMilliseconds: await ask('Deadline in ms', classShape.deadlineMilliseconds, proposed.deadlineMilliseconds),
		hedge: await ask('May slow short requests be hedged, that is, sent to a second server? (yes or no)', classShape.hedge, false),
	};
}
