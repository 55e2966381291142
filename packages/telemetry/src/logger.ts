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

/** Fields of a log line; never a body, credential or key. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes JSON lines. */
export type Logger = {
	log(level: LogLevel, id: LogMessageId, fields?: LogFields): void;
	/** Logs a failure with its result code. */
	logFailure(level: LogLevel, id: LogMessageId, failure: Failure, fields?: LogFields): void;
};

const namespaceRoot = 'tanagerrail';
let commonFields: LogFields = {};

/** Takes one log line; must not block. */
export type LogSink = (line: string, level: LogLevel) => void;

/** Commands keep standard output for their results, so their log lines go to standard error. */
let writeLine: LogSink = line => {
	process.stderr.write(line);
};

/**
 * Sets where the log lines of this process go.
 *
 * @param sink - Takes each line with its line end.
 */
export function setLogSink(sink: LogSink): void {
	writeLine = sink;
}

/**
 * Sets the fields that every log line of this process carries.
 *
 * @param fields - For example the host id and the failure domain.
 */
export function setCommonLogFields(fields: LogFields): void {
	commonFields = fields;
}

/**
 * Sets which namespaces and levels are written; can be called at any time.
 *
 * @param filter - A filter of the `debug` library, for example `tanagerrail:*:warn,tanagerrail:routing:*`.
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
