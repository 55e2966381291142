import {createHash} from 'node:crypto';

/**
 * Ranks hosts for a service by rendezvous hashing (highest random weight), so that a host that joins or leaves
 * changes the first rank only of the services it gains or loses.
 *
 * @param service - Name of the service.
 * @param hostIds - Ids of the hosts to rank.
 * @returns The ids, best first; the same for every caller with the same set.
 */
export function rankHosts(service: string, hostIds: readonly string[]): string[] {
	return hostIds
		.map(id => ({id, weight: createHash('sha256').update(service).update('\0').update(id).digest().readBigUInt64BE()}))
		.sort((left, right) => (left.weight === right.weight ? left.id.localeCompare(right.id) : (left.weight > right.weight ? -1 : 1)))
		.map(({id}) => id);
}
