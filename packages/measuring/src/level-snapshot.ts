import {z} from 'zod';
import {storedWindowSchema} from './class-window.js';

/** Schema of the cost of load probes in one window. */
export const storedCostSchema = z.object({
	start: z.number(),
	messages: z.number(),
	bytes: z.number(),
	processorMilliseconds: z.number(),
	/** Largest cost in one second of the window. */
	peakMessages: z.number(),
	peakBytes: z.number(),
});

/** Cost of load probes in one window. */
export type StoredCost = z.output<typeof storedCostSchema>;

const storedClassSchema = z.object({
	name: z.string(),
	kind: z.enum(['short', 'long']),
	/** Latency above which a response is bad, in milliseconds. */
	latencyMilliseconds: z.number(),
	/** Target share of good responses, between 0 and 1; absent if the work class has no objective. */
	objective: z.number().optional(),
	windowDays: z.number(),
	/** Windows by tier: 10 s, 5 min, 1 h. */
	fine: z.array(storedWindowSchema),
	medium: z.array(storedWindowSchema),
	coarse: z.array(storedWindowSchema),
});

/** Schema of the service-level counts of one host process. */
export const levelSnapshotSchema = z.object({
	format: z.literal(1),
	hostId: z.string(),
	incarnation: z.string(),
	/** Start of the process, in milliseconds since the epoch. */
	startedAt: z.number(),
	/** Time of the snapshot, in milliseconds since the epoch. */
	at: z.number(),
	/** Whether this is the last snapshot of a process that stopped, so that no counts after `at` are missing. */
	isFinal: z.boolean(),
	services: z.array(z.object({
		name: z.string(),
		probesPerSecond: z.number(),
		bytesPerSecond: z.number(),
		costs: z.array(storedCostSchema),
		classes: z.array(storedClassSchema),
	})),
});

/** Service-level counts of one host process at one time. */
export type LevelSnapshot = z.output<typeof levelSnapshotSchema>;

/** Counts of one work class in a snapshot. */
export type StoredClass = z.output<typeof storedClassSchema>;
