import type {EntryProcess} from '../../testbed/index.js';
import type {FleetEndpoint} from '../fleet-endpoint.js';
import type {Fleet} from '../fleet.js';

/**
 * Finds an entry.
 *
 * @param fleet - The fleet.
 * @param id - `entry-N`.
 * @returns The entry.
 * @throws Error when there is none.
 */
export function getEntry(fleet: Fleet, id: string): EntryProcess {
	const entry = fleet.entries.get(id);
	if (!entry) {
		throw new Error(`found ${id}, expected one of ${[...fleet.entries.keys()].join(', ')}`);
	}

	return entry;
}

/**
 * Finds an endpoint.
 *
 * @param fleet - The fleet.
 * @param id - `SERVICE-N`.
 * @returns The endpoint.
 * @throws Error when there is none.
 */
export function getEndpoint(fleet: Fleet, id: string): FleetEndpoint {
	const endpoint = fleet.endpoints.get(id);
	if (!endpoint) {
		throw new Error(`found ${id}, expected one of ${[...fleet.endpoints.keys()].join(', ')}`);
	}

	return endpoint;
}
