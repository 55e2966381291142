import process from 'node:process';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';

const logger = createLogger('host');

/**
 * Logs errors and rejections that no code has handled, and keeps the process running. A host serves many callers at once, and
 * such an error belongs to the work of one of them, which its own timeout ends.
 */
export function logUnexpectedErrors(): void {
	for (const event of ['uncaughtException', 'unhandledRejection']) {
		process.on(event, (error: unknown) => {
			logger.log(LogLevel.error, 'internal-error', {origin: event, reason: error instanceof Error ? error.stack ?? error.message : String(error)});
		});
	}
}
