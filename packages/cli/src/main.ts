#!/usr/bin/env node
import process from 'node:process';
import {cac} from 'cac';
import {createFailure} from '@tanagerrail/results';
import {printOutcome} from './commands/command-outcome.js';
import {printFailures} from './commands/print-failures.js';
import {addEdgeCommand} from './commands/edge.js';
import {addOperatorCommands, mergeCommandWords} from './commands/operator-commands.js';
import {EntryHost} from './entry-host.js';
import {stopOnSignal} from './stop-on-signal.js';
import {watchLogFilter} from './host-controls.js';
import {logUnexpectedErrors} from './log-unexpected-errors.js';
import {loadSettings, type LoadedSettings} from './load-settings.js';

const program = cac('tanagerrail');

program
	.command('entry', 'Run an entry host')
	.option('--settings <file>', 'Settings file (YAML)')
	.action(async ({settings: file}: {settings?: string}) => {
		const loaded = readSettings(file);
		if (!loaded) {
			return;
		}

		const host = new EntryHost(loaded.settings, loaded.configuration);
		stopOnSignal(async () => host.stop());
		watchLogFilter(file!);
		await host.start();
		logUnexpectedErrors();
	});
addEdgeCommand(program);
addOperatorCommands(program);
program.help();

function readSettings(file: string | undefined): LoadedSettings | undefined {
	if (file === undefined) {
		printFailures([createFailure('usage-invalid', {reason: '--settings FILE is missing'})]);
		return undefined;
	}

	return loadSettings(file).match<LoadedSettings | undefined>(loaded => loaded, failures => {
		printFailures(failures);
		return undefined;
	});
}

async function runMain(): Promise<void> {
	const argv = mergeCommandWords(process.argv);
	try {
		program.parse(argv, {run: false});
		if (!program.matchedCommand && !program.options.help) {
			printOutcome({lines: [], data: {}, failure: createFailure('usage-invalid', {reason: argv[2] === undefined ? 'no command given' : `${argv[2]} is not a command`})}, false);
			return;
		}

		await program.runMatchedCommand();
	} catch (error) {
		if (!(error instanceof Error) || error.name !== 'CACError') {
			throw error;
		}

		printOutcome({lines: [], data: {}, failure: createFailure('usage-invalid', {reason: error.message})}, argv.includes('--json'));
	}
}

void runMain();
