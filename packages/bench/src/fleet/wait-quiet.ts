import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {readProcessorPressure} from './read-pressure.js';

const sampleMilliseconds = 1000;
const maxPressure = 0.1;
const maxWaitMilliseconds = 8000;

/**
 * Waits, for at most 8 s, until few processes of the machine wait for a processor. Contention with other programs would
 * dominate the measured latencies of all variants.
 *
 * @returns Milliseconds waited.
 */
export async function waitForIdleProcessors(): Promise<number> {
	const startedAt = performance.now();
	for (;;) {
		const before = readProcessorPressure();
		await waitMilliseconds(sampleMilliseconds);
		const pressure = (readProcessorPressure() - before) / sampleMilliseconds;
		const elapsed = performance.now() - startedAt;
		if (!(pressure > maxPressure) || elapsed > maxWaitMilliseconds) {
			return elapsed;
		}
	}
}
