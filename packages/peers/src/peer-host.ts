import * as z from 'zod';

/** Schema of {@link PeerHost}. */
export const peerHostSchema = z.object({
	id: z.string(),
	failureDomain: z.string(),
	/** `ip:port` on which the host serves other hosts. */
	peerAddress: z.string(),
	/** Number of processor cores that the host may use. */
	cores: z.number(),
});

/** A host of this system, as announced to other hosts. */
export type PeerHost = z.infer<typeof peerHostSchema>;

/** Schema of {@link HostSighting}. */
export const hostSightingSchema = peerHostSchema.extend({seenMilliseconds: z.number()});

/** A host and the time since any host last received a message from it, in milliseconds. */
export type HostSighting = z.infer<typeof hostSightingSchema>;
