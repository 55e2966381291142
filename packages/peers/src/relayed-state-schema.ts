import {Repetition} from '@tanagerrail/configuration';
import * as z from 'zod';
import {hostSightingSchema} from './peer-host.js';
import {crashRecordsSchema} from './relayed-state.js';

const routeTableSchema = z.object({
	revision: z.number(),
	routes: z.array(z.object({
		name: z.string(),
		hostname: z.string(),
		pathPrefix: z.string(),
		repetition: z.enum(Repetition),
		timeoutMilliseconds: z.number(),
		objectiveMilliseconds: z.number(),
		rank: z.number(),
		maximumAttempts: z.number(),
		targets: z.array(z.object({service: z.string(), weight: z.number()})),
	})),
	services: z.array(z.object({name: z.string(), healthPath: z.string(), connectionsPerEndpoint: z.number()})),
	limits: z.object({
		headerBytes: z.number(), bodyBytes: z.number(), headersMilliseconds: z.number(), idleMilliseconds: z.number(),
	}),
});

const endpointSchema = z.object({
	id: z.string(),
	address: z.string(),
	service: z.string(),
	failureDomain: z.string(),
	slots: z.number(),
	isDraining: z.boolean(),
	startedAt: z.number(),
	sequence: z.number(),
	coldMilliseconds: z.number(),
});

/** Schema of `RelayedState`. A response that does not match it is not adopted, whichever release its sender runs. */
export const relayedStateSchema = z.object({
	incarnation: z.string(),
	hasSource: z.boolean(),
	age: z.number(),
	registryVersion: z.number(),
	directory: z.object({
		cursor: z.number(), isFull: z.boolean(), endpoints: z.array(endpointSchema), removed: z.array(z.string()),
	}),
	routes: routeTableSchema.optional(),
	hostsVersion: z.number(),
	hosts: z.array(hostSightingSchema).optional(),
	crashes: z.object({version: z.number(), records: crashRecordsSchema}).optional(),
});

/** Schema of the list of hosts that a host returns. */
export const hostSightingsSchema = z.array(hostSightingSchema);
