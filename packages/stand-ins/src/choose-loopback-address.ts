import {randomInt} from 'node:crypto';

const octetValues = 256;

/**
 * Chooses a random IP address in 127.0.0.0/8 for one host. On the shared 127.0.0.1, another process can take a free port
 * between the moment it is chosen and the moment the host listens on it; on its own address, a host can use any port.
 *
 * @returns An address that differs from those of other hosts and other test runs, except by rare chance.
 */
export function chooseLoopbackAddress(): string {
	return [127, randomInt(1, octetValues), randomInt(octetValues), randomInt(1, octetValues - 1)].join('.');
}
