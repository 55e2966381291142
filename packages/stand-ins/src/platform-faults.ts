import {z} from 'zod';

/** Schema of {@link PlatformFaults}. */
export const platformFaultsSchema = z.strictObject({
	/** `refused`: connections are refused; `unavailable`: every call gets status 503. */
	down: z.enum(['none', 'refused', 'unavailable']),
	/** Delay before a call takes effect, in milliseconds. */
	slowMilliseconds: z.number().min(0),
	/** Number of upcoming writes that take effect but whose response is lost. */
	loseResponses: z.int().min(0),
	/** Number of upcoming writes that fail with status 500 without taking effect. */
	failWrites: z.int().min(0),
});

/** Faults of a stand-in platform service; they can be changed while it runs. */
export type PlatformFaults = z.output<typeof platformFaultsSchema>;

/** {@link PlatformFaults} of a service that works normally. */
export const noPlatformFaults: PlatformFaults = {
	down: 'none', slowMilliseconds: 0, loseResponses: 0, failWrites: 0,
};
