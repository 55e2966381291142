#!/usr/bin/env node
import fs from 'node:fs';
import process from 'node:process';
import {cac} from 'cac';
import {parse} from 'yaml';
import type {Configuration} from '@tanagerrail/configuration';
import {formatFailure, resultCodes} from '@tanagerrail/results';
import {runReportCommand, type ReportCommandOptions} from './commands/report-command.js';
import {EntryHost, stopOnSignal} from './entry-host.js';
import {settingsSchema} from './settings.js';

const program = cac('tanagerrail');

program
	.command('entry', 'Run an entry host')
	.option('--settings <file>', 'Settings file (YAML)')
	.action(async ({settings: file}: {settings: string}) => {
		const settings = settingsSchema.parse(parse(fs.readFileSync(file, 'utf8')));
		const {initialConfigurationFile} = settings;
		const configuration = initialConfigurationFile === undefined
			? undefined
			: JSON.parse(fs.readFileSync(initialConfigurationFile, 'utf8')) as Configuration;
		const host = new EntryHost(settings, configuration);
		stopOnSignal(host);
		await host.start();
	});
program
	.command('report', 'Show service levels: burn, budget left, quality measures, refusals')
	.option('--settings <file>', 'Settings file (YAML)')
	.option('--json', 'Print JSON')
	.option('--html <file>', 'Write a self-contained HTML page')
	.action(async ({settings: file, ...options}: {settings: string} & ReportCommandOptions) => {
		const result = await runReportCommand(settingsSchema.parse(parse(fs.readFileSync(file, 'utf8'))), options);
		if (result.isErr()) {
			process.stderr.write(`${resultCodes[result.error.id].number} ${formatFailure(result.error)}\n`);
			process.exitCode = 1;
		}
	});
program.help();

async function runMain(): Promise<void> {
	program.parse(process.argv, {run: false});
	await program.runMatchedCommand();
}

void runMain();
