import * as z from 'zod';

/** A host of this system as other hosts know it. */
export const peerHostSchema = z.object({
	id: z.string(),
	failureDomain: z.string(),
	/** `ip:port` at which other hosts ask it. */
	peerAddress: z.string(),
	/** Processor cores that it may use. */
	cores: z.number(),
});

/** A host of this system as other hosts know it. */
export type PeerHost = z.infer<typeof peerHostSchema>;

/** A host and the time since somebody has heard of it, in milliseconds. */
export const hostSightingSchema = peerHostSchema.extend({seenMilliseconds: z.number()});

/** A host and the time since somebody has heard of it. */
export type HostSighting = z.infer<typeof hostSightingSchema>;
