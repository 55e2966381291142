import fs from 'node:fs';

/**
 * Reads the total time in which at least one process of the machine waited for a processor, from `/proc/pressure/cpu`
 * (Linux pressure stall information).
 *
 * @returns Milliseconds since boot; `NaN` when the kernel does not provide the figure.
 */
export function readProcessorPressure(): number {
	try {
		const microseconds = /^some .*total=(?<total>\d+)/v.exec(fs.readFileSync('/proc/pressure/cpu', 'utf8'))?.groups?.total;
		return Number(microseconds) / 1000;
	} catch {
		return Number.NaN;
	}
}
