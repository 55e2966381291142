import {valueFormats} from './format-value.js';

/**
 * Escapes text for HTML and SVG.
 *
 * @param text - Unescaped text.
 * @returns Text that is safe in element content and in quoted attributes.
 */
export function escapeMarkup(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => `&#${character.codePointAt(0)};`);
}

/** A line of a plot; points without a value leave a gap. */
export type PlotLine = {
	readonly label: string;
	/** CSS class. */
	readonly style: string;
	readonly points: ReadonlyArray<{readonly at: number; readonly value: number | undefined}>;
};

/** A line plot over time with a threshold. */
export type LinePlot = {
	readonly title: string;
	readonly lines: readonly PlotLine[];
	readonly threshold: number;
	/** Range of the time axis, in milliseconds since the epoch. */
	readonly from: number;
	readonly to: number;
};

const lineLayout = {
	width: 560, height: 170, left: 44, right: 10, top: 10, bottom: 22,
};

/**
 * Renders a line plot as inline SVG.
 *
 * @param plot - Lines, threshold and time range.
 * @returns SVG markup.
 */
export function renderLinePlot({title, lines, threshold, from, to}: LinePlot): string {
	const values = lines.flatMap(({points}) => points.map(({value}) => value ?? 0));
	const top = Math.max(threshold * 1.2, ...values) * 1.05;
	const locateX = (at: number) => lineLayout.left + ((at - from) / Math.max(1, to - from) * (lineLayout.width - lineLayout.left - lineLayout.right));
	const locateY = (value: number) => lineLayout.height - lineLayout.bottom - (value / top * (lineLayout.height - lineLayout.top - lineLayout.bottom));
	const ticks = [{part: 0, anchor: 'start'}, {part: 0.25, anchor: 'middle'}, {part: 0.5, anchor: 'middle'}, {part: 0.75, anchor: 'middle'}, {part: 1, anchor: 'end'}]
		.map(tick => ({...tick, at: from + (tick.part * (to - from))}));
	return [
		`<svg viewBox="0 0 ${lineLayout.width} ${lineLayout.height}" role="img"><title>${escapeMarkup(title)}</title>`,
		...[0, top / 2, top].map(value => `<line class="grid" x1="${lineLayout.left}" x2="${lineLayout.width - lineLayout.right}" y1="${locateY(value).toFixed(1)}" y2="${locateY(value).toFixed(1)}"/>`
			+ `<text x="${lineLayout.left - 5}" y="${(locateY(value) + 4).toFixed(1)}" text-anchor="end">${value.toFixed(1)}</text>`),
		...ticks.map(({at, anchor}) => `<text x="${locateX(at).toFixed(1)}" y="${lineLayout.height - 5}" text-anchor="${anchor}">${new Date(at).toISOString().slice(11, 16)}</text>`),
		`<line class="threshold" x1="${lineLayout.left}" x2="${lineLayout.width - lineLayout.right}" y1="${locateY(threshold).toFixed(1)}" y2="${locateY(threshold).toFixed(1)}"/>`,
		...lines.map(({style, points}) => `<path class="${style}" d="${buildPath(points, locateX, locateY)}"/>`),
		...lines.flatMap(({style, points}) => points.filter(({value}) => value !== undefined)
			.map(({at, value}) => `<circle class="${style}" cx="${locateX(at).toFixed(1)}" cy="${locateY(value!).toFixed(1)}" r="1.8">`
				+ `<title>${valueFormats.time(at)}: ${value!.toFixed(2)}</title></circle>`)),
		'</svg>',
	].join('');
}

function buildPath(points: PlotLine['points'], locateX: (at: number) => number, locateY: (value: number) => number): string {
	let hasPreviousPoint = false;
	const parts: string[] = [];
	for (const {at, value} of points) {
		if (value !== undefined) {
			parts.push(`${hasPreviousPoint ? 'L' : 'M'}${locateX(at).toFixed(1)} ${locateY(value).toFixed(1)}`);
		}

		hasPreviousPoint = value !== undefined;
	}

	return parts.join('');
}

/** One bar of a bar plot. */
export type PlotBar = {
	readonly label: string;
	readonly value: number | undefined;
	/** The formatted value. */
	readonly text: string;
	/** Limit that is marked on the bar; a bar beyond it is highlighted. */
	readonly limit?: number;
};

const barLayout = {
	width: 560, step: 22, left: 150, right: 90,
};

/**
 * Renders horizontal bars as inline SVG.
 *
 * @param title - Title of the plot.
 * @param bars - Bars, which share one scale.
 * @param scale - Value of a bar of full length; by default the largest value or limit.
 * @returns SVG markup.
 */
export function renderBarPlot(title: string, bars: readonly PlotBar[], scale?: number): string {
	const top = scale ?? Math.max(1e-9, ...bars.flatMap(({value, limit}) => [value ?? 0, limit ?? 0]));
	const maximumBarLength = barLayout.width - barLayout.left - barLayout.right;
	const rows = bars.map(({label, value, text, limit}, index) => {
		const y = index * barLayout.step;
		const length = Math.min(maximumBarLength, Math.max(0, (value ?? 0) / top * maximumBarLength));
		const limitX = (barLayout.left + ((limit ?? 0) / top * maximumBarLength)).toFixed(1);
		const isOver = limit !== undefined && (value ?? 0) > limit;
		return `<text x="${barLayout.left - 8}" y="${y + 15}" text-anchor="end">${escapeMarkup(label)}</text>`
			+ `<rect class="${isOver ? 'over' : 'bar'}" x="${barLayout.left}" y="${y + 4}" width="${length.toFixed(1)}" height="14"/>`
			+ (limit === undefined ? '' : `<line class="threshold" x1="${limitX}" x2="${limitX}" y1="${y + 1}" y2="${y + 21}"/>`)
			+ `<text x="${(barLayout.left + maximumBarLength + 8).toFixed(1)}" y="${y + 15}">${escapeMarkup(text)}</text>`;
	});
	return `<svg viewBox="0 0 ${barLayout.width} ${(bars.length * barLayout.step) + 2}" role="img"><title>${escapeMarkup(title)}</title>${rows.join('')}</svg>`;
}
