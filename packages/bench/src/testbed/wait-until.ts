import {setTimeout as waitMilliseconds} from 'node:timers/promises';

/** Options of {@link waitUntil}. */
export type WaitOptions = {
	/** Name of the condition, for the error message. */
	readonly name: string;
	/** Timeout in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Interval between checks in milliseconds. */
	readonly intervalMilliseconds: number;
};

/** Defaults of {@link WaitOptions}. */
export const defaultWaitOptions: WaitOptions = {name: 'the condition', timeoutMilliseconds: 40_000, intervalMilliseconds: 25};

/**
 * Waits until a condition is true.
 *
 * @param condition - Checked immediately and then repeatedly; an exception counts as false.
 * @param options - Name, timeout and interval.
 * @throws Error when the condition is still false after the timeout.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, options: Partial<WaitOptions> = {}): Promise<void> {
	const {name, timeoutMilliseconds, intervalMilliseconds} = {...defaultWaitOptions, ...options};
	const end = performance.now() + timeoutMilliseconds;
	for (;;) {
		if (await checkCondition(condition)) {
			return;
		}

		if (performance.now() > end) {
			throw new Error(`timed out after ${timeoutMilliseconds} ms waiting for ${name}`);
		}

		await waitMilliseconds(intervalMilliseconds);
	}
}

async function checkCondition(condition: () => boolean | Promise<boolean>): Promise<boolean> {
	try {
		return await condition();
	} catch {
		return false;
	}
}
