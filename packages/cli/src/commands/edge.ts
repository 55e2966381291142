import fs from 'node:fs';
import process from 'node:process';
import {
	createLogger, createStdoutSink, LogLevel, readMonotonicClock, setCommonLogFields, setLogFilter, setLogSink,
} from '@tanagerrail/telemetry';
import type {CAC} from 'cac';
import {createFailure, type Failure} from '@tanagerrail/results';
import {EdgeHost} from '../edge-host.js';
import {loadEdgeSettings} from '../edge-settings.js';
import {logUnexpectedErrors} from '../log-unexpected-errors.js';
import {stopOnSignal} from '../stop-on-signal.js';
import {printFailures} from './print-failures.js';

const logger = createLogger('host');

/** Interval at which the settings file is checked for changes, in milliseconds. A change takes effect even if no SIGHUP is sent. */
const settingsPollMilliseconds = 1000;

/**
 * Registers `edge`.
 *
 * @param program - The command line.
 */
export function addEdgeCommand(program: CAC): void {
	program
		.command('edge', 'Run an edge host')
		.option('--settings <file>', 'Settings file (YAML)')
		.action(async ({settings: file}: {settings?: string}) => {
			const failures = file === undefined
				? [createFailure('usage-invalid', {reason: '--settings FILE is missing'})]
				: await runEdge(file);
			if (failures.length > 0) {
				printFailures(failures);
			}
		});
}

/**
 * Starts an edge host, which runs until SIGTERM.
 *
 * @param file - Path of the settings file.
 * @returns An empty list once the host listens, or the failures of the settings.
 */
async function runEdge(file: string): Promise<readonly Failure[]> {
	// The default action of SIGHUP would end the process until watchSettings installs its handler.
	const ignoreReload = () => undefined;
	process.on('SIGHUP', ignoreReload);
	const loaded = loadEdgeSettings(file);
	if (loaded.isErr()) {
		return loaded.error;
	}

	const {host: {id, failureDomain}, log} = loaded.value;
	setCommonLogFields({host: id, failureDomain});
	setLogFilter(log.filter);
	setLogSink(createStdoutSink({
		clock: readMonotonicClock,
		linesPerSecond: log.linesPerSecond,
		onDropped(lines) {
			logger.log(LogLevel.warn, 'log-lines-dropped', {lines});
		},
	}));
	const host = new EdgeHost(loaded.value);
	watchSettings(file, host);
	process.off('SIGHUP', ignoreReload);
	stopOnSignal(async () => {
		await host.stop();
		// All received requests have their responses; the exit closes the remaining connections.
		process.exit(0);
	});
	await host.start();
	logUnexpectedErrors();
	return [];
}

function watchSettings(file: string, host: EdgeHost): void {
	let text = readText(file);
	const reload = () => {
		const newest = readText(file);
		if (newest === text || newest === undefined) {
			return;
		}

		text = newest;
		loadEdgeSettings(file).match(settings => {
			host.updateSettings(settings);
		}, ([failure]) => {
			logger.logFailure(LogLevel.error, 'settings-not-reloaded', failure!);
		});
	};

	process.on('SIGHUP', reload);
	setInterval(reload, settingsPollMilliseconds).unref();
}

function readText(file: string): string | undefined {
	try {
		return fs.readFileSync(file, 'utf8');
	} catch {
		return undefined;
	}
}
