import type {IncomingMessage, ServerResponse} from 'node:http';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {keyHeader, verifyKey} from '@tanagerrail/peers';
import {
	buildProblemDetails, createFailure, problemMediaType, type Failure,
} from '@tanagerrail/results';
import {createLogger, LogLevel, setLogFilter} from '@tanagerrail/telemetry';
import {loadSettings} from './load-settings.js';

const logger = createLogger('host');

/** Path of the log filter endpoint on the admin address. */
export const logFilterPath = '/-/log-filter';

/** Syntax of a filter: namespaces with `*` as wildcard; a leading `-` excludes a namespace. */
const filterPattern = /^[\w:*,\- ]{0,1000}$/v;

/**
 * Handles a request that changes the log filter (`POST` with the filter as text); requires a valid admin key.
 *
 * @param req - Request on the admin address.
 * @param res - Its response: no body on success, problem details otherwise.
 * @param keys - Valid admin keys.
 */
export async function serveLogFilter(req: IncomingMessage, res: ServerResponse, keys: readonly string[]): Promise<void> {
	if (!verifyKey(req.headers[keyHeader], keys)) {
		sendFailure(res, createFailure('peer-unauthorized'));
		return;
	}

	const isShort = Number(req.headers['content-length'] ?? Infinity) <= 1000;
	const filter = req.method === 'POST' && isShort ? await text(req) : undefined;
	if (filter === undefined || !filterPattern.test(filter)) {
		sendFailure(res, createFailure('request-malformed', {reason: 'expected a POST with a log filter as its body'}));
		return;
	}

	applyLogFilter(filter.trim(), 'admin call');
	res.writeHead(204).end();
}

/**
 * Reloads the log filter from a settings file on each SIGHUP. An invalid file changes nothing.
 *
 * @param file - Path of the settings file.
 * @returns Function that stops the reloading.
 */
export function watchLogFilter(file: string): () => void {
	const reload = () => {
		const loaded = loadSettings(file);
		if (loaded.isOk()) {
			applyLogFilter(loaded.value.settings.log.filter, 'SIGHUP');
			return;
		}

		for (const failure of loaded.error) {
			logger.logFailure(LogLevel.error, 'settings-not-reloaded', failure);
		}
	};

	process.on('SIGHUP', reload);
	return () => {
		process.off('SIGHUP', reload);
	};
}

function applyLogFilter(filter: string, source: string): void {
	setLogFilter(filter);
	logger.log(LogLevel.info, 'log-filter-changed', {filter, source});
}

function sendFailure(res: ServerResponse, failure: Failure): void {
	const details = buildProblemDetails(failure);
	res.writeHead(details.status, {'content-type': problemMediaType, connection: 'close'}).end(JSON.stringify(details));
}
