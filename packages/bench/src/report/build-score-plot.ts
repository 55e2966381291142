import fs from 'node:fs';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Plot} from '../experiments/index.js';

/** Parts of a day's worth that can be plotted, by the name that the users' bench gives them. */
export const ScorePart = {
	worstWindows: 'worst windows', wholeDay: 'whole day', worstClass: 'worst class', servedAtAll: 'served at all',
} as const;

/** One of the parts. */
export type ScorePart = typeof ScorePart[keyof typeof ScorePart];

/** Name of days that are drawn anew for each score; they cannot be compared. */
const freshPrefix = 'fresh-';

/** The fields of a journal entry of the users' bench that are read here; its figure `G` is the day's worth. */
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
	/** Ids of journal entries of scores, in the order of the plot. */
	readonly ids: readonly string[];
	readonly part: ScorePart;
};

/**
 * Plots one part of the worth of each standard day, one line for each score.
 *
 * @param options - The scores and the part.
 * @returns The plot, or what is wrong with an entry.
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
			return err(`entry ${id} is not that of a score`);
		}

		entries.push(entry.data);
	}

	const days = [...new Set(entries.flatMap(entry => entry.days.map(({name}) => name)))].filter(name => !name.startsWith(freshPrefix)).sort();
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
