import {randomInt} from 'node:crypto';

/** Addresses of one entry host as `ip:port`. */
export type EntryAddresses = {
	readonly callers: string;
	readonly peers: string;
	readonly admin: string;
};

/** Ports of an entry host; its IP address is its own, so that the same ones serve all hosts. */
const entryPorts = {callers: 8080, peers: 8081, admin: 8082} as const;

const octetValues = 256;

/**
 * Chooses the addresses of an entry host. Each host has an IP address of its own in 127.0.0.0/8: a port of the shared
 * 127.0.0.1 that is free while it is picked may be taken before the host listens.
 *
 * @returns Addresses that differ from those of other hosts and other test runs.
 */
export function chooseEntryAddresses(): EntryAddresses {
	const host = [127, randomInt(1, octetValues), randomInt(octetValues), randomInt(1, octetValues - 1)].join('.');
	return {
		callers: `${host}:${entryPorts.callers}`, peers: `${host}:${entryPorts.peers}`, admin: `${host}:${entryPorts.admin}`,
	};
}
