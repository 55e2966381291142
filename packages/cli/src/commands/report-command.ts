import fs from 'node:fs';
import type {CAC} from 'cac';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, formatFailure, type Failure} from '@tanagerrail/results';
import {loadSettings} from '../load-settings.js';
import {
	collectLevels, createOperatorSources, createPlatformSources, type LevelSources,
} from '../report/collect-levels.js';
import {renderReportHtml} from '../report/render-report-html.js';
import {renderReportText} from '../report/render-report-text.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';
import {addOperatorOptions, readTarget, type OperatorOptions} from './operator-options.js';

/** Options of `tanagerrail report`. */
type ReportOptions = OperatorOptions & {
	/** Settings file of a host; replaces the admin addresses. */
	readonly settings?: string;
	/** Output file for the HTML page. */
	readonly html?: string;
};

async function runReport(options: ReportOptions): Promise<CommandOutcome> {
	const collected = await readSources(options).match(async sources => collectLevels(sources), async failure => err(failure));
	if (collected.isErr()) {
		return {lines: [], data: {}, failure: collected.error};
	}

	const levels = collected.value;
	return {
		lines: renderReportText(levels).trimEnd().split('\n'),
		data: {...levels.report, warnings: levels.warnings},
		failure: options.html === undefined ? undefined : writePage(String(options.html), renderReportHtml(levels)),
	};
}

function readSources(options: ReportOptions): Result<LevelSources, Failure> {
	if (options.settings === undefined) {
		return readTarget(options).map(target => createOperatorSources(target));
	}

	return loadSettings(String(options.settings))
		.map(({settings}) => createPlatformSources(settings))
		.mapErr(failures => failures.length === 1 ? failures[0]! : createFailure('usage-invalid', {reason: failures.map(failure => formatFailure(failure)).join(' ')}));
}

function writePage(file: string, page: string): Failure | undefined {
	try {
		fs.writeFileSync(file, page);
		return undefined;
	} catch (error) {
		return createFailure('file-unwritable', {file, reason: (error as NodeJS.ErrnoException).code ?? 'unknown'});
	}
}

/**
 * Registers `report`.
 *
 * @param program - The command line.
 */
export function addReportCommand(program: CAC): void {
	addOperatorOptions(program.command('report', 'Show service levels: burn rate, remaining error budget, latency and refusals'))
		.option('--settings <file>', 'Settings file of a host, instead of --admin; also works when the platform is reachable but no host is')
		.option('--html <file>', 'Write a self-contained HTML page with plots')
		.example('  tanagerrail report --admin 10.0.0.1:7002 --key-file admin.key --html levels.html')
		.action(async (options: ReportOptions) => {
			printOutcome(await runReport(options), options.json ?? false);
		});
}
