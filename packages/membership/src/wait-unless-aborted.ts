import {setTimeout as wait} from 'node:timers/promises';

/**
 * Waits for a time, or until the signal is aborted.
 *
 * @param milliseconds - Time to wait.
 * @param signal - Ends the wait early when aborted.
 */
export async function waitUnlessAborted(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await wait(milliseconds, undefined, {signal});
	} catch {
		// The wait rejects only if the signal is aborted.
	}
}
