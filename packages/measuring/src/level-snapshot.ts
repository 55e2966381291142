import {z} from 'zod';
import {storedWindowSchema} from './class-window.js';

/** Cost of measuring in one window; a part of a snapshot. */
export const storedCostSchema = z.object({
	start: z.number(),
	messages: z.number(),
	bytes: z.number(),
	processorMilliseconds: z.number(),
	/** Largest cost of a single second in the window. */
	peakMessages: z.number(),
	peakBytes: z.number(),
});

/** Cost of measuring in one window. */
export type StoredCost = z.output<typeof storedCostSchema>;

const storedClassSchema = z.object({
	name: z.string(),
	kind: z.enum(['short', 'long']),
	/** A response later than this is bad, in milliseconds. */
	latencyMilliseconds: z.number(),
	/** Promised share of good responses; absent when nothing is promised. */
	objective: z.number().optional(),
	windowDays: z.number(),
	/** Windows by tier: 10 s, 5 min, 1 h. */
	fine: z.array(storedWindowSchema),
	medium: z.array(storedWindowSchema),
	coarse: z.array(storedWindowSchema),
});

/** Schema of the service-level counts of one host's process. */
export const levelSnapshotSchema = z.object({
	format: z.literal(1),
	hostId: z.string(),
	incarnation: z.string(),
	/** Milliseconds since the epoch. */
	startedAt: z.number(),
	at: z.number(),
	/** Whether the process has stopped and nothing is missing after `at`. */
	isFinal: z.boolean(),
	services: z.array(z.object({
		name: z.string(),
		probesPerSecond: z.number(),
		bytesPerSecond: z.number(),
		costs: z.array(storedCostSchema),
		classes: z.array(storedClassSchema),
	})),
});

/** Service-level counts of one host's process at one time. */
export type LevelSnapshot = z.output<typeof levelSnapshotSchema>;

/** Counts of one work class in a snapshot. */
export type StoredClass = z.output<typeof storedClassSchema>;
