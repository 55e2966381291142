import {z} from 'zod';

/** Schema of {@link EndpointBehaviour}; in JSON, `null` stands for `undefined`. */
export const endpointBehaviourSchema = z.strictObject({
	/** Maximum number of requests processed at the same time; further ones wait in a queue of the endpoint. */
	slots: z.int().min(1),
	/** Factor by which the duration of each request is multiplied. */
	slowness: z.number().min(0),
	/** Time in milliseconds after which `slowness` is reset to 1; never if undefined. */
	slowMilliseconds: z.number().nullish(),
	/** Whether each request fails immediately with status 500. */
	isFailing: z.boolean(),
	/** Whether each response carries the header `endpoint-state: draining`. */
	isDraining: z.boolean(),
	/** Queue length from which a full endpoint refuses new requests as not run; no load shedding if undefined. */
	shedAbove: z.number().min(0).nullish(),
	/** Number of requests in flight that the load report states instead of the actual one. */
	reportedInFlight: z.int().nullish(),
	/** Time in milliseconds for which a load report is reused before a new one is created. */
	reportLagMilliseconds: z.number().min(0),
	/** Warm-up time in milliseconds after a start, during which requests take `coldSlowness` times as long. */
	coldMilliseconds: z.number().min(0),
	coldSlowness: z.number().min(0),
	/** Share of requests, from 0 to 1, that take `requestStallMilliseconds` longer; selected by a hash of seed and target. */
	requestStallShare: z.number().min(0).max(1),
	requestStallMilliseconds: z.number().min(0),
	/** Seed of the selection; endpoints with different seeds stall different requests. */
	requestStallSeed: z.string(),
	/** Whether processing stops at the deadline given by the `request-timeout` header. */
	keepsDeadlines: z.boolean(),
	/** Whether processing stops when the caller closes the connection. */
	stopsCancelled: z.boolean(),
	/** Request target that makes the endpoint crash. */
	crashTarget: z.string().nullish(),
	/** Whether a crash kills the process instead of only closing the listener. */
	crashesProcess: z.boolean(),
	/** Time in milliseconds from a crash until the endpoint listens again. */
	restartMilliseconds: z.number().min(0),
	/** Number of bytes of a response body after which the connection is closed; responses are complete if undefined. */
	cutAfterBytes: z.int().nullish(),
});

/** Properties and persistent faults of a stand-in endpoint; they can be changed while it runs. */
export type EndpointBehaviour = Readonly<z.output<typeof endpointBehaviourSchema>>;

/** Defaults of {@link EndpointBehaviour}. */
export const defaultEndpointBehaviour: EndpointBehaviour = {
	slots: 3,
	slowness: 1,
	slowMilliseconds: undefined,
	isFailing: false,
	isDraining: false,
	shedAbove: undefined,
	reportedInFlight: undefined,
	reportLagMilliseconds: 0,
	coldMilliseconds: 0,
	coldSlowness: 5,
	requestStallShare: 0,
	requestStallMilliseconds: 150,
	requestStallSeed: '',
	keepsDeadlines: true,
	stopsCancelled: true,
	crashTarget: undefined,
	crashesProcess: false,
	restartMilliseconds: 500,
	cutAfterBytes: undefined,
};

/** Schema of {@link EndpointFaults}, the body of `PUT /-/faults`. */
export const endpointFaultsSchema = endpointBehaviourSchema.partial().extend({
	/** Share of the open connections, from 0 to 1, that are silenced: they stay open, but their requests are ignored. */
	silenceShare: z.number().min(0).max(1).optional(),
	/** Time in milliseconds for which all processing is paused. */
	stallMilliseconds: z.number().min(0).optional(),
});

/** Properties to change, and one-time faults. */
export type EndpointFaults = Readonly<z.output<typeof endpointFaultsSchema>>;
