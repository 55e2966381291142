import {request} from 'undici';
import type {EndpointFaults, EndpointRequestRecord} from '@tanagerrail/stand-ins';
import type {EndpointAddress} from '../testbed/index.js';

/**
 * Changes the behaviour of an endpoint stand-in.
 *
 * @param endpoint - The endpoint.
 * @param faults - Properties to change and one-time faults.
 */
export async function updateEndpoint({address}: Pick<EndpointAddress, 'address'>, faults: EndpointFaults): Promise<void> {
	const {statusCode, body} = await request(`http://${address}/-/faults`, {method: 'PUT', body: JSON.stringify(faults)});
	const text = await body.text();
	if (statusCode !== 204) {
		throw new Error(`endpoint stand-in ${address} rejected the faults: ${text}`);
	}
}

/**
 * Reads the requests that an endpoint stand-in has received.
 *
 * @param endpoint - The endpoint.
 * @returns Its latest requests in order of arrival.
 */
export async function fetchRuns({address}: Pick<EndpointAddress, 'address'>): Promise<EndpointRequestRecord[]> {
	const {body} = await request(`http://${address}/-/runs`);
	return await body.json() as EndpointRequestRecord[];
}

/**
 * Clears the log of requests of an endpoint stand-in.
 *
 * @param endpoint - The endpoint.
 */
export async function resetRuns({address}: Pick<EndpointAddress, 'address'>): Promise<void> {
	const {body} = await request(`http://${address}/-/runs`, {method: 'DELETE'});
	await body.dump();
}
