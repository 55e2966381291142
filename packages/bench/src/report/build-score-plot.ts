import fs from 'node:fs';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Plot} from '../experiments/index.js';

/** Parts of the score of a day that can be plotted, named as in the journal of the users' benchmark. */
export const ScorePart = {
	worstWindows: 'worst windows', wholeDay: 'whole day', worstClass: 'worst class', servedAtAll: 'served at all',
} as const;

/** Name of a part of the score. */
export type ScorePart = typeof ScorePart[keyof typeof ScorePart];

/** Name prefix of days that are randomly generated for each run and therefore not comparable between runs. */
const randomDayPrefix = 'fresh-';

/** Schema of the fields that are read from a score entry of the journal; `G` in the journal is the score of a day. */
const entrySchema = z.object({
	cmd: z.literal('score'),
	head: z.string(),
	why: z.string(),
	days: z.array(z.object({name: z.string(), parts: z.array(z.tuple([z.string(), z.number(), z.number()]))})),
});

/** Options of {@link buildScorePlot}. */
export type ScorePlotOptions = {
	/** Directory of the journal. */
	readonly directory: string;
	/** Ids of score entries of the journal, in the order of the plot. */
	readonly ids: readonly string[];
	readonly part: ScorePart;
};

/**
 * Builds a plot of one part of the score of each standard day, with one line for each journal entry.
 *
 * @param options - Journal entries and part of the score.
 * @returns The plot, or an error message about an invalid entry.
 */
export function buildScorePlot({directory, ids, part}: ScorePlotOptions): Result<Plot, string> {
	const files = fs.readdirSync(directory);
	const entries: Array<z.infer<typeof entrySchema>> = [];
	for (const id of ids) {
		const file = files.find(name => name.endsWith(`-${id}.json`));
		if (file === undefined) {
			return err(`the journal has no entry ${id}`);
		}

		const entry = entrySchema.safeParse(JSON.parse(fs.readFileSync(path.join(directory, file), 'utf8')));
		if (!entry.success) {
			return err(`journal entry ${id} is not a score`);
		}

		entries.push(entry.data);
	}

	const days = [...new Set(entries.flatMap(entry => entry.days.map(({name}) => name)))].filter(name => !name.startsWith(randomDayPrefix)).sort();
	return ok({
		title: part,
		xName: 'day',
		yName: 'share',
		xLabels: days,
		series: entries.map(({head, why, days: scored}) => ({
			name: `${head.slice(0, 7)}: ${why}`,
			points: scored.flatMap(({name, parts}) => {
				const found = parts.find(([partName]) => partName === part);
				return found && days.includes(name) ? [[days.indexOf(name), found[2]] as const] : [];
			}).sort(([left], [right]) => left - right),
		})),
	});
}
