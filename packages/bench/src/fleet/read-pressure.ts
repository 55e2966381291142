import fs from 'node:fs';

/**
 * Reads for how long some process of the machine has waited for a processor, from `/proc/pressure/cpu` (Linux pressure
 * stall information).
 *
 * @returns Milliseconds since the start of the machine; not a number where the kernel does not tell.
 */
export function readPressure(): number {
	try {
		const microseconds = /^some .*total=(?<total>\d+)/v.exec(fs.readFileSync('/proc/pressure/cpu', 'utf8'))?.groups?.total;
		return Number(microseconds) / 1000;
	} catch {
		return Number.NaN;
	}
}
