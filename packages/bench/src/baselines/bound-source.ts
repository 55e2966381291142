import type {Configuration} from '@tanagerrail/configuration';
import {Allocator, createAllocatorSource, type SlotSource} from '@tanagerrail/routing';
import {readMonotonicClock} from '@tanagerrail/telemetry';
import type {PolicyEndpoint} from './policy-source.js';

const expiryIntervalMilliseconds = 5;

/**
 * Creates the bound, an idealized reference for comparisons: the product's allocators run in a single process that knows all slots
 * and has one queue for each service.
 *
 * @param configuration - The services.
 * @param endpoints - All endpoints.
 * @param random - Random numbers between 0 and 1.
 * @returns The slot source.
 */
export function createBoundSource(configuration: Configuration, endpoints: readonly PolicyEndpoint[], random: () => number): SlotSource {
	const sources = new Map<string, SlotSource>();
	for (const service of configuration.services) {
		const allocator = new Allocator({service, clock: readMonotonicClock, random});
		allocator.updateEndpoints(endpoints.filter(endpoint => endpoint.service === service.name).map(({id, address}) => ({
			id, address, failureDomain: '', isLeaving: false,
		})));
		setInterval(() => {
			allocator.expire();
		}, expiryIntervalMilliseconds).unref();
		sources.set(service.name, createAllocatorSource({
			allocator, hostId: 'bound', failureDomain: '', isValid: () => true,
		}));
	}

	return {
		acquire: (request, signal) => sources.get(request.service)!.acquire(request, signal),
	};
}
