import {rankHosts} from '@tanagerrail/membership';
import type {EntryProcess} from '../../testbed/index.js';
import type {FleetEndpoint} from '../fleet-endpoint.js';
import type {Fleet} from '../fleet.js';

const rankWords = ['first', 'second', 'third'];

/**
 * Finds an entry.
 *
 * @param fleet - The fleet.
 * @param id - `entry-N`, or `first-of-SERVICE`, `second-of-SERVICE` or `third-of-SERVICE` by rank for its allocator.
 * @returns The entry, or nothing.
 */
export function findEntry(fleet: Fleet, id: string): EntryProcess | undefined {
	const [, word, service = ''] = /^(first|second|third)-of-(.+)$/v.exec(id) ?? [];
	return fleet.entries.get(word === undefined ? id : rankHosts(service, [...fleet.entries.keys()])[rankWords.indexOf(word)] ?? '');
}

/**
 * Finds an entry that must exist.
 *
 * @param fleet - The fleet.
 * @param id - As for {@link findEntry}.
 * @returns The entry.
 * @throws Error when there is none.
 */
export function getEntry(fleet: Fleet, id: string): EntryProcess {
	const entry = findEntry(fleet, id);
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
