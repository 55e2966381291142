import fs from 'node:fs';
import process from 'node:process';
import {cac} from 'cac';
import {registerChaos} from './chaos/chaos-command.js';
import {experiments, type ExperimentReport} from './experiments/index.js';
import {registerScorePlot} from './report/plot-scores-command.js';
import {renderPlot} from './report/render-plot.js';
import {registerSoak} from './soak/index.js';

type BenchOptions = {
	readonly seed: number;
	readonly json?: string;
	readonly plot?: string;
	readonly quick?: boolean;
};

const program = cac('bench');

program
	.command('<experiment>', `Run an experiment: ${Object.keys(experiments).join(', ')}`)
	.option('--seed <number>', 'Seed of arrivals and faults', {default: 1})
	.option('--json <file>', 'Write targets, measured values and the table of results as JSON')
	.option('--plot <file>', 'Write a plot as SVG')
	.option('--quick', 'Shorten the run; the results are not representative')
	.action(runExperiment);
registerChaos(program);
registerSoak(program);
registerScorePlot(program);
program.help();

async function runExperiment(name: string, {seed, json, plot, quick = false}: BenchOptions): Promise<void> {
	const run = experiments[name];
	if (!run) {
		throw new Error(`unknown experiment ${name}, expected one of ${Object.keys(experiments).join(', ')}`);
	}

	const report = await run({
		seed,
		isQuick: quick,
		onProgress(text) {
			process.stderr.write(`${name}: ${text}\n`);
		},
	});
	writeReport(report, {
		name, seed, json, plot,
	});
	process.exitCode = report.targets.every(({met}) => met) ? 0 : 1;
}

function writeReport(report: ExperimentReport, {name, seed, json, plot}: {name: string; seed: number; json?: string; plot?: string}): void {
	console.log(`experiment ${name}, seed ${seed}`);
	console.table(report.rows);
	console.table(report.targets);
	if (json !== undefined) {
		fs.writeFileSync(json, `${JSON.stringify({
			experiment: name, seed, targets: report.targets, rows: report.rows, plot: report.plot,
		}, undefined, '\t')}\n`);
	}

	if (plot !== undefined) {
		fs.writeFileSync(plot, renderPlot(report.plot));
	}
}

try {
	program.parse(process.argv, {run: false});
	await program.runMatchedCommand();
} catch (error) {
	process.stderr.write(`${(error as Error).message}\n`);
	process.exitCode = 1;
}
