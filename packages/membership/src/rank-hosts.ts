import {createHash} from 'node:crypto';

/**
 * Ranks hosts for a service by rendezvous hashing (highest random weight). A host that joins or leaves changes the first
 * rank only of the services that it gains or loses.
 *
 * @param service - Name of the service.
 * @param hostIds - Ids of the hosts to rank.
 * @returns The ids, highest weight first; the same for the same set of hosts in any order.
 */
export function rankHosts(service: string, hostIds: readonly string[]): string[] {
	return hostIds
		.map(id => ({id, weight: createHash('sha256').update(service).update('\0').update(id).digest().readBigUInt64BE()}))
		.sort((left, right) => (left.weight === right.weight ? left.id.localeCompare(right.id) : (left.weight > right.weight ? -1 : 1)))
		.map(({id}) => id);
}
