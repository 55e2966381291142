import {z} from 'zod';

const listenSchema = z.strictObject({
	address: z.string().default('127.0.0.1'),
	port: z.int().min(0).max(65_535),
});

/** Schema of the settings file; docs/settings.md describes each field. */
export const settingsSchema = z.strictObject({
	host: z.strictObject({
		id: z.string().min(1),
		failureDomain: z.string().min(1),
	}),
	listen: z.strictObject({
		callers: listenSchema,
		peers: listenSchema,
		admin: listenSchema,
	}),
	keys: z.strictObject({
		peers: z.array(z.string().min(16)).min(1).max(2),
		admin: z.array(z.string().min(16)).min(1).max(2),
	}),
	platform: z.strictObject({
		hostList: z.strictObject({url: z.url()}),
		table: z.strictObject({
			url: z.url(),
			name: z.string().default('tanagerrail'),
		}).optional(),
		objects: z.strictObject({
			url: z.url(),
			bucket: z.string().default('tanagerrail'),
		}).optional(),
		/** Sign the calls to the table service and the object store. */
		credentials: z.strictObject({
			accessKeyId: z.string().min(1),
			secretAccessKey: z.string().min(1),
		}).optional(),
	}),
	metrics: z.strictObject({
		address: z.string().optional(),
		port: z.int().default(8125),
	}).prefault({}),
	log: z.strictObject({
		filter: z.string().default('tanagerrail:*:info,tanagerrail:*:warn,tanagerrail:*:error'),
	}).prefault({}),
	shutdown: z.strictObject({
		lameDuckMilliseconds: z.int().min(0).default(2000),
		shutdownMilliseconds: z.int().min(0).default(600_000),
	}).prefault({}),
	/** Configuration used until the table holds a revision. */
	initialConfigurationFile: z.string().optional(),
});

/** Settings of one host. */
export type Settings = z.output<typeof settingsSchema>;
