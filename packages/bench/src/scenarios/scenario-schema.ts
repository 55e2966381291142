import {z} from 'zod';

const workClassSchema = z.strictObject({
	usual: z.number().positive().default(10),
	longest: z.number().positive().default(1000),
	deadline: z.number().positive().default(2000),
	kind: z.enum(['short', 'long']).default('short'),
	/** Whether requests of the class may run more than once. */
	idempotent: z.boolean().default(true),
	method: z.string().default('GET'),
});

const serviceSchema = z.strictObject({
	endpoints: z.int().min(1).max(20).default(3),
	slots: z.int().min(1).default(3),
	/** Work classes by name; the requests of class C of service S have the path `/S/C/...`. */
	classes: z.record(z.string(), workClassSchema).default({read: workClassSchema.parse({})}),
});

/** Schema of a scenario file without its steps; times are in milliseconds. */
export const scenarioSchema = z.strictObject({
	name: z.string().min(1),
	/** Promises (`promise-N`) and failures that the scenario covers, as listed in docs/proofs.md. */
	proves: z.array(z.string()).min(1),
	entries: z.int().min(1).max(18).default(3),
	failureDomains: z.int().min(1).default(3),
	/** Whether the table service and the object store run. */
	platform: z.boolean().default(true),
	/** Lag of the host list. */
	listLag: z.int().min(0).default(0),
	lameDuck: z.int().min(0).default(100),
	/** Timeout of the whole run. */
	timeout: z.int().positive().default(20_000),
	/** Probe budget of each service. */
	measuring: z.strictObject({probesPerSecond: z.number().min(0), bytesPerSecond: z.number().min(0)}).default({probesPerSecond: 10, bytesPerSecond: 10_000}),
	services: z.record(z.string(), serviceSchema),
});

/** A scenario file without its steps. */
export type ScenarioHeader = z.output<typeof scenarioSchema>;

/** One service of a scenario. */
export type ScenarioService = ScenarioHeader['services'][string];
