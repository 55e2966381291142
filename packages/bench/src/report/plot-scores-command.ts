import fs from 'node:fs';
import type {CAC} from 'cac';
import {buildScorePlot, ScorePart} from './build-score-plot.js';
import {renderPlot} from './render-plot.js';

type ScorePlotCommandOptions = {readonly journal: string; readonly part: string; readonly plot: string};

/**
 * Registers `bench plot-scores`.
 *
 * @param program - The command line.
 */
export function registerScorePlot(program: CAC): void {
	program
		.command('plot-scores [...ids]', 'Plot a part of the score of each standard day, with one line for each journal entry')
		.option('--journal <directory>', 'Directory of the journal', {default: 'journal'})
		.option('--part <name>', `Part of the score: ${Object.values(ScorePart).join(', ')}`, {default: ScorePart.worstWindows})
		.option('--plot <file>', 'SVG file to write', {default: 'scores.svg'})
		.action(handleScorePlot);
}

function handleScorePlot(ids: readonly string[], {journal, part, plot}: ScorePlotCommandOptions): void {
	const known = Object.values(ScorePart).find(name => name === part);
	if (!known) {
		throw new Error(`unknown part ${part}, expected one of ${Object.values(ScorePart).join(', ')}`);
	}

	// cac parses ids that consist only of digits as numbers.
	const plotted = buildScorePlot({directory: journal, ids: ids.map(String), part: known});
	if (plotted.isErr()) {
		throw new Error(plotted.error);
	}

	fs.writeFileSync(plot, renderPlot(plotted.value));
}
