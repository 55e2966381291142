import {setTimeout as wait} from 'node:timers/promises';

/**
 * Waits, unless a signal cuts the wait short.
 *
 * @param milliseconds - Time to wait.
 * @param signal - Ends the wait.
 */
export async function waitUntil(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await wait(milliseconds, undefined, {signal});
	} catch {
		// The only error is that of the signal.
	}
}
