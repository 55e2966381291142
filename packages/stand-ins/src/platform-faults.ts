import {z} from 'zod';

/** Faults of a platform service; they can be changed while it runs. */
export const platformFaultsSchema = z.strictObject({
	/** `refused`: connections are refused; `unavailable`: each call is answered with status 503. */
	down: z.enum(['none', 'refused', 'unavailable']),
	/** Delay before a call takes effect, in milliseconds. */
	slowMilliseconds: z.number().min(0),
	/** Number of next writes that take effect and whose response is lost. */
	loseResponses: z.int().min(0),
	/** Number of next writes that are answered with status 500 before they take effect. */
	failWrites: z.int().min(0),
});

/** Faults of a platform service. */
export type PlatformFaults = z.output<typeof platformFaultsSchema>;

/** A platform service without faults. */
export const noPlatformFaults: PlatformFaults = {
	down: 'none', slowMilliseconds: 0, loseResponses: 0, failWrites: 0,
};
