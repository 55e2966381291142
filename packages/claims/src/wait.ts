import {setTimeout} from 'node:timers/promises';

/** Waits for a time in milliseconds, or less when the signal is aborted; never rejects. */
export type Wait = (milliseconds: number, signal?: AbortSignal) => Promise<void>;

/**
 * Waits on a timer.
 *
 * @param milliseconds - Time to wait.
 * @param signal - Ends the wait.
 */
export const waitMilliseconds: Wait = async (milliseconds, signal) => {
	try {
		await setTimeout(milliseconds, undefined, {signal});
	} catch {
		// Only the signal ends the wait early.
	}
};
