import process from 'node:process';
import createDebug from 'debug';
import {formatFailure, resultCodes, type Failure} from '@tanagerrail/results';
import {logMessages, type LogMessageId} from './log-messages.js';

/** Severity of a log line. */
export const LogLevel = {
	debug: 'debug', info: 'info', warn: 'warn', error: 'error',
} as const;

/** One of `debug`, `info`, `warn` and `error`. */
export type LogLevel = typeof LogLevel[keyof typeof LogLevel];

/** Additional fields of a log line; must not contain a body, credential or key. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines in JSON format. */
export type Logger = {
	log(level: LogLevel, id: LogMessageId, fields?: LogFields): void;
	/** Logs a failure with the number and message of its result code. */
	logFailure(level: LogLevel, id: LogMessageId, failure: Failure, fields?: LogFields): void;
};

const namespaceRoot = 'tanagerrail';
let commonFields: LogFields = {};

/** Writes one log line; must not block. */
export type LogSink = (line: string, level: LogLevel) => void;

/** Log lines go to standard error by default, because commands write their results to standard output. */
let writeLine: LogSink = line => {
	process.stderr.write(line);
};

/**
 * Sets the destination of the log lines of this process.
 *
 * @param sink - Called with each line, including the line end.
 */
export function setLogSink(sink: LogSink): void {
	writeLine = sink;
}

/**
 * Sets fields that are added to every log line of this process.
 *
 * @param fields - For example the host id and the failure domain.
 */
export function setCommonLogFields(fields: LogFields): void {
	commonFields = fields;
}

/**
 * Sets which components and levels are logged; can be called at any time.
 *
 * @param filter - A namespace filter of the `debug` library, for example `tanagerrail:*:warn,tanagerrail:routing:*`.
 */
export function setLogFilter(filter: string): void {
	createDebug.enable(filter);
}

/**
 * Creates the logger of one component.
 *
 * @param component - Last part of the namespace, for example `routing`.
 * @returns A logger whose namespace for each level is `tanagerrail:<component>:<level>`.
 */
export function createLogger(component: string): Logger {
	const writers = new Map(Object.values(LogLevel).map(level => [level, createDebug(`${namespaceRoot}:${component}:${level}`)]));
	const logger: Logger = {
		log(level, id, fields = {}) {
			if (!writers.get(level)?.enabled) {
				return;
			}

			const line = {
				time: new Date().toISOString(), level, component, ...commonFields, event: id, message: logMessages[id], ...fields,
			};
			writeLine(`${JSON.stringify(line)}\n`, level);
		},
		logFailure(level, id, failure, fields = {}) {
			logger.log(level, id, {...fields, code: resultCodes[failure.id].number, detail: formatFailure(failure)});
		},
	};
	return logger;
}
