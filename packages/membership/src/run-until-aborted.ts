import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {waitUnlessAborted} from './wait-unless-aborted.js';

const logger = createLogger('membership');

/** Pause after an unexpected error, in milliseconds. */
const errorPauseMilliseconds = 200;

/**
 * Runs a background task until it ends or the signal is aborted. A task that ends with an unexpected error is started again:
 * one message that it cannot handle must not end the updates of this host for good.
 *
 * @param task - The task; it ends when the signal is aborted.
 * @param signal - Stops the task.
 */
export async function runUntilAborted(task: (signal: AbortSignal) => Promise<void>, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			await task(signal);
			return;
		} catch (error) {
			logger.log(LogLevel.error, 'internal-error', {reason: String(error), stack: error instanceof Error ? error.stack : undefined});
			await waitUnlessAborted(errorPauseMilliseconds, signal);
		}
	}
}
