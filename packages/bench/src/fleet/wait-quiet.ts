import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {readPressure} from './read-pressure.js';

const sampleMilliseconds = 1000;
const quietPressure = 0.1;
const longestMilliseconds = 8000;

/**
 * Waits until other programs of the machine leave processors free, for at most 8 s: while processes queue for a
 * processor, latencies of all variants say more about the machine than about the variant.
 *
 * @returns Milliseconds waited.
 */
export async function waitQuiet(): Promise<number> {
	const startedAt = performance.now();
	for (;;) {
		const before = readPressure();
		await waitMilliseconds(sampleMilliseconds);
		const pressure = (readPressure() - before) / sampleMilliseconds;
		const waited = performance.now() - startedAt;
		if (!(pressure > quietPressure) || waited > longestMilliseconds) {
			return waited;
		}
	}
}
