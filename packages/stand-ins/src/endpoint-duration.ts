import {createHash} from 'node:crypto';
import type {EndpointBehaviour} from './endpoint-behaviour.js';
import {durationHeader, type EndpointRequest} from './endpoint-request.js';

/**
 * Computes how long a request takes at an endpoint.
 *
 * @param request - The request; its header says how long it takes on a healthy endpoint.
 * @param behaviour - Faults that make it longer.
 * @param age - Time since the endpoint began to listen, in milliseconds.
 * @returns Milliseconds.
 */
export function computeDuration({req, run}: EndpointRequest, behaviour: EndpointBehaviour, age: number): number {
	const {slowness, coldMilliseconds, coldSlowness} = behaviour;
	const usual = Number(req.headers[durationHeader] ?? 0) * slowness * (age < coldMilliseconds ? coldSlowness : 1);
	return usual + (hasStall(run.target, behaviour) ? behaviour.requestStallMilliseconds : 0);
}

function hasStall(target: string, {requestStallShare, requestStallSeed}: EndpointBehaviour): boolean {
	return requestStallShare > 0
		&& createHash('sha256').update(requestStallSeed).update(target).digest().readUInt32BE() / (2 ** 32) < requestStallShare;
}
