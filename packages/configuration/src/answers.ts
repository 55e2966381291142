import {z} from 'zod';
import {MissingKeyPolicy, Priority, WorkKind} from './configuration.js';
import {ChangeKind} from './change-kind.js';
import {defaultServiceConfiguration} from './default-service-configuration.js';

/** How the servers of a service announce a shutdown. */
export const ShutdownNotice = {drainingNotice: 'draining-notice', hostList: 'host-list', unannounced: 'unannounced'} as const;

/** Whether servers are slower for a while after a start (`cold`) or not (`warm`). */
export const StartupBehavior = {cold: 'cold', warm: 'warm'} as const;

const nameSchema = z.string().regex(/^[a-z][a-z\d]*(?:-[a-z\d]+)*$/v, 'lower-case words joined by hyphens');
const millisecondsSchema = z.number().positive().max(86_400_000);
const shareSchema = z.number().min(0).max(1);
const pathSchema = z.string().regex(/^\/(?!.*\*\*.)(?:[^\s?#]*)$/v, 'a path that begins with / and has ** only at its end');

const classSchema = z.strictObject({
	name: nameSchema,
	kind: z.enum(Object.values(WorkKind)),
	priority: z.enum(Object.values(Priority)),
	usualMilliseconds: millisecondsSchema,
	longestMilliseconds: millisecondsSchema,
	deadlineMilliseconds: millisecondsSchema,
	hedge: z.boolean().default(false),
});

const requestSchema = z.strictObject({
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', '*']),
	path: pathSchema,
	class: nameSchema,
	idempotent: z.boolean(),
});

const promiseSchema = z.strictObject({
	class: nameSchema,
	latencyMilliseconds: millisecondsSchema,
	objective: z.number().gt(0).lt(1),
	windowDays: z.int().min(1).max(365),
});

const serverSchema = z.strictObject({
	count: z.int().min(1).max(10_000),
	slots: z.int().min(1).max(1000),
	connections: z.int().min(1).max(100_000),
	connectionsPerHost: z.int().min(1).optional(),
	openMilliseconds: z.number().min(0).default(1),
	reportsLoad: z.boolean().default(true),
	loadPath: pathSchema.default(defaultServiceConfiguration.loadPath),
	leaving: z.enum(Object.values(ShutdownNotice)).default(ShutdownNotice.drainingNotice),
	arriving: z.enum(Object.values(StartupBehavior)).default(StartupBehavior.cold),
});

/** Schema of the part of the answers that describes one service. */
export const serviceAnswersSchema = z.strictObject({
	name: nameSchema,
	purpose: z.string().default(''),
	servers: serverSchema,
	classes: z.array(classSchema).min(1),
	requests: z.array(requestSchema).min(1),
	longWorkShare: shareSchema.default(defaultServiceConfiguration.longWorkShare),
	maximumWaitFraction: shareSchema.default(defaultServiceConfiguration.maximumWaitFraction),
	retryBudget: shareSchema.default(defaultServiceConfiguration.retryBudget),
	hedgeBudget: shareSchema.default(defaultServiceConfiguration.hedgeBudget),
	missingKey: z.enum(Object.values(MissingKeyPolicy)).default(defaultServiceConfiguration.missingKey),
	outcomeDays: z.int().min(1).max(3650).default(defaultServiceConfiguration.outcomeDays),
	promises: z.array(promiseSchema).default([]),
});

/** Schema of the answers file; docs/answers.md describes each field. */
export const answersSchema = z.strictObject({
	organization: z.string().min(1),
	topology: z.strictObject({
		regions: z.int().min(1).max(2).default(1),
		failureDomains: z.int().min(1).max(6),
		entryHosts: z.strictObject({fewest: z.int().min(1).max(1000), most: z.int().min(1).max(1000)}),
		betweenDomainsMilliseconds: z.number().min(0),
		toClientsMilliseconds: z.number().min(0),
	}),
	measuring: z.strictObject({
		probesPerSecond: z.number().min(0),
		bytesPerSecond: z.number().min(0),
	}),
	tableWritesPerSecond: z.number().min(0).max(1000),
	routineChanges: z.array(z.strictObject({
		change: z.enum(Object.values(ChangeKind)),
		upTo: z.number().gt(0).max(1).optional(),
	})).default([]),
	services: z.array(serviceAnswersSchema).min(1),
});

/** The parsed answers file, an operator's description of the services and hosts, with all defaults filled in. */
export type Answers = z.output<typeof answersSchema>;

/** The part of the answers that describes one service. */
export type ServiceAnswers = z.output<typeof serviceAnswersSchema>;
