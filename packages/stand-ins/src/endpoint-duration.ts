import {createHash} from 'node:crypto';
import type {EndpointBehaviour} from './endpoint-behaviour.js';
import {durationHeader, type EndpointRequest} from './endpoint-request.js';

/**
 * Computes the processing time of a request at an endpoint.
 *
 * @param request - The request; a header gives its processing time at a healthy endpoint.
 * @param behaviour - Faults that lengthen the processing time.
 * @param age - Time since the endpoint started to listen, in milliseconds.
 * @returns The processing time in milliseconds.
 */
export function computeDuration({req, record}: EndpointRequest, behaviour: EndpointBehaviour, age: number): number {
	const {slowness, coldMilliseconds, coldSlowness} = behaviour;
	const workDuration = Number(req.headers[durationHeader] ?? 0) * slowness * (age < coldMilliseconds ? coldSlowness : 1);
	return workDuration + (hasStall(record.target, behaviour) ? behaviour.requestStallMilliseconds : 0);
}

function hasStall(target: string, {requestStallShare, requestStallSeed}: EndpointBehaviour): boolean {
	return requestStallShare > 0
		&& createHash('sha256').update(requestStallSeed).update(target).digest().readUInt32BE() / (2 ** 32) < requestStallShare;
}
