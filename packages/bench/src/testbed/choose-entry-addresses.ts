import {chooseLoopbackAddress} from '@tanagerrail/stand-ins';

/** Addresses of one entry host as `ip:port`. */
export type EntryAddresses = {
	readonly callers: string;
	readonly peers: string;
	readonly admin: string;
};

/** Ports of an entry host. All hosts can use the same ports because each has its own IP address. */
const entryPorts = {callers: 8080, peers: 8081, admin: 8082} as const;

/**
 * Chooses the addresses of an entry host.
 *
 * @returns Addresses that differ from those of other hosts and concurrent test runs.
 */
export function chooseEntryAddresses(): EntryAddresses {
	const host = chooseLoopbackAddress();
	return {
		callers: `${host}:${entryPorts.callers}`, peers: `${host}:${entryPorts.peers}`, admin: `${host}:${entryPorts.admin}`,
	};
}
