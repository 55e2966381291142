import {rankHosts} from '@tanagerrail/membership';
import type {EntryProcess} from '../../testbed/index.js';
import type {FleetEndpoint} from '../fleet-endpoint.js';
import type {Fleet} from '../fleet.js';

const rankNames = ['first', 'second', 'third'];

/**
 * Finds an entry host.
 *
 * @param fleet - The fleet.
 * @param id - `entry-N`, or `first-of-SERVICE`, `second-of-SERVICE` or `third-of-SERVICE` by rank in the choice of the host
 * that runs the allocator of the service.
 * @returns The entry host, or `undefined`.
 */
export function findEntry(fleet: Fleet, id: string): EntryProcess | undefined {
	const [, rankName, service = ''] = /^(first|second|third)-of-(.+)$/v.exec(id) ?? [];
	return fleet.entries.get(rankName === undefined ? id : rankHosts(service, [...fleet.entries.keys()])[rankNames.indexOf(rankName)] ?? '');
}

/**
 * Gets an entry host and throws if it does not exist.
 *
 * @param fleet - The fleet.
 * @param id - As for {@link findEntry}.
 * @returns The entry host.
 * @throws Error when the id is unknown.
 */
export function getEntry(fleet: Fleet, id: string): EntryProcess {
	const entry = findEntry(fleet, id);
	if (!entry) {
		throw new Error(`unknown process ${id}, expected one of ${[...fleet.entries.keys()].join(', ')}`);
	}

	return entry;
}

/**
 * Gets an endpoint and throws if it does not exist.
 *
 * @param fleet - The fleet.
 * @param id - `SERVICE-N`.
 * @returns The endpoint.
 * @throws Error when the id is unknown.
 */
export function getEndpoint(fleet: Fleet, id: string): FleetEndpoint {
	const endpoint = fleet.endpoints.get(id);
	if (!endpoint) {
		throw new Error(`unknown process ${id}, expected one of ${[...fleet.endpoints.keys()].join(', ')}`);
	}

	return endpoint;
}
