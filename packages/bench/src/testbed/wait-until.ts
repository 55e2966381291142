import {setTimeout as waitMilliseconds} from 'node:timers/promises';

/** Options of {@link waitUntil}. */
export type WaitOptions = {
	/** What is waited for, for the error message. */
	readonly name: string;
	/** Longest wait in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Time between two checks in milliseconds. */
	readonly intervalMilliseconds: number;
};

/** Defaults of {@link WaitOptions}. */
export const defaultWaitOptions: WaitOptions = {name: 'the condition', timeoutMilliseconds: 40_000, intervalMilliseconds: 25};

/**
 * Waits until a condition holds.
 *
 * @param condition - Checked at once and then repeatedly; an exception counts as not met.
 * @param options - Name and times.
 * @throws Error when the condition does not hold in time.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, options: Partial<WaitOptions> = {}): Promise<void> {
	const {name, timeoutMilliseconds, intervalMilliseconds} = {...defaultWaitOptions, ...options};
	const end = performance.now() + timeoutMilliseconds;
	for (;;) {
		if (await checkCondition(condition)) {
			return;
		}

		if (performance.now() > end) {
			throw new Error(`${name} did not hold within ${timeoutMilliseconds} ms`);
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
