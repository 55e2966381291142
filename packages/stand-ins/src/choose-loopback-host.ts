import {randomInt} from 'node:crypto';

const octetValues = 256;

/**
 * Chooses an IP address in 127.0.0.0/8 for one host. A port of the shared 127.0.0.1 that is free while it is picked may
 * be taken before the host listens on it; on an address of its own, a host may use any port.
 *
 * @returns An address that differs from those of other hosts and other test runs.
 */
export function chooseLoopbackHost(): string {
	return [127, randomInt(1, octetValues), randomInt(octetValues), randomInt(1, octetValues - 1)].join('.');
}
