import {setTimeout} from 'node:timers/promises';

/** Waits for a number of milliseconds, or until the signal is aborted; never rejects. */
export type Wait = (milliseconds: number, signal?: AbortSignal) => Promise<void>;

/**
 * Waits on a timer of Node.js.
 *
 * @param milliseconds - Time to wait.
 * @param signal - Ends the wait early when aborted.
 */
export const waitMilliseconds: Wait = async (milliseconds, signal) => {
	try {
		await setTimeout(milliseconds, undefined, {signal});
	} catch {
		// Only the signal ends the wait early.
	}
};
