import {z} from 'zod';

/** Schema of {@link EndpointBehaviour}; `null` stands for nothing in JSON. */
export const endpointBehaviourSchema = z.strictObject({
	/** Requests run at the same time; others wait inside the endpoint. */
	slots: z.int().min(1),
	/** Factor on the duration of each request. */
	slowness: z.number().min(0),
	/** Time after which `slowness` is 1 again, in milliseconds; nothing for no end. */
	slowMilliseconds: z.number().nullish(),
	/** Answer 500 at once. */
	isFailing: z.boolean(),
	/** Announce leaving in each response. */
	isDraining: z.boolean(),
	/** Waiting requests above which new ones are refused as not run; nothing when none is shed. */
	shedAbove: z.number().min(0).nullish(),
	/** Number that the load report gives instead of the true one. */
	reportedInFlight: z.int().nullish(),
	/** Age that a load report reaches before a new one is made, in milliseconds. */
	reportLagMilliseconds: z.number().min(0),
	/** Time after a start in which requests take `coldSlowness` times as long, in milliseconds. */
	coldMilliseconds: z.number().min(0),
	coldSlowness: z.number().min(0),
	/** Share of requests that stall for `requestStallMilliseconds`, between 0 and 1; drawn from seed and target. */
	requestStallShare: z.number().min(0).max(1),
	requestStallMilliseconds: z.number().min(0),
	/** Another seed makes other requests stall, so that a request that stalls here may not stall elsewhere. */
	requestStallSeed: z.string(),
	/** Whether work stops at the deadline of `request-timeout`. */
	keepsDeadlines: z.boolean(),
	/** Whether work stops when its caller is gone. */
	stopsCancelled: z.boolean(),
	/** Target whose request brings the endpoint down. */
	crashTarget: z.string().nullish(),
	/** Whether a crash ends the process instead of the listener. */
	crashesProcess: z.boolean(),
	/** Time from a crash until the listener is back, in milliseconds. */
	restartMilliseconds: z.number().min(0),
	/** Bytes of a response body after which the connection breaks. */
	cutAfterBytes: z.int().nullish(),
});

/** Faults and properties of a stand-in endpoint; they can be changed while it runs. */
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

/** Schema of the body of `PUT /-/faults`: properties to change and faults that happen once. */
export const endpointFaultsSchema = endpointBehaviourSchema.partial().extend({
	/** Share of the open connections that go silent for good, between 0 and 1. */
	silenceShare: z.number().min(0).max(1).optional(),
	/** Time in which no work goes on, in milliseconds. */
	stallMilliseconds: z.number().min(0).optional(),
});

/** Properties to change and faults that happen once. */
export type EndpointFaults = Readonly<z.output<typeof endpointFaultsSchema>>;
