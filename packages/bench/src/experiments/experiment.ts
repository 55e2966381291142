/** One target with what was measured. */
export type TargetResult = {
	readonly name: string;
	readonly target: string;
	readonly measured: number;
	readonly met: boolean;
};

/** A line in a plot. */
export type PlotSeries = {readonly name: string; readonly points: ReadonlyArray<readonly [number, number]>};

/** A plot of an experiment. */
export type Plot = {
	readonly title: string;
	readonly xName: string;
	readonly yName: string;
	/** Names of the points 0, 1 and so on of the x axis; without them it is a scale. */
	readonly xLabels?: readonly string[];
	readonly series: readonly PlotSeries[];
};

/** One line of figures. */
export type FigureRow = Readonly<Record<string, string | number>>;

/** What an experiment found. */
export type ExperimentReport = {
	readonly targets: readonly TargetResult[];
	readonly rows: readonly FigureRow[];
	readonly plot: Plot;
};

/** Options of an experiment. */
export type ExperimentOptions = {
	readonly seed: number;
	/** Shorter runs for tests; the figures mean little. */
	readonly isQuick: boolean;
	/** Called with a line of progress. */
	readonly onProgress: (text: string) => void;
};

/** Runs an experiment. */
export type Experiment = (options: ExperimentOptions) => Promise<ExperimentReport>;

const decimals = 3;

/**
 * Compares a figure with the highest value that is allowed.
 *
 * @param name - Name of the target.
 * @param measured - The figure; not a number when it could not be measured.
 * @param limit - The limit.
 * @returns The result, met only for a figure at or below the limit.
 */
export function checkAtMost(name: string, measured: number, limit: number): TargetResult {
	return {
		name, target: `at most ${formatFigure(limit)}`, measured: formatFigure(measured), met: measured <= limit,
	};
}

/**
 * Compares a figure with the lowest value that is allowed.
 *
 * @param name - Name of the target.
 * @param measured - The figure; not a number when it could not be measured.
 * @param limit - The limit.
 * @returns The result, met only for a figure at or above the limit.
 */
export function checkAtLeast(name: string, measured: number, limit: number): TargetResult {
	return {
		name, target: `at least ${formatFigure(limit)}`, measured: formatFigure(measured), met: measured >= limit,
	};
}

/**
 * Rounds a figure for output.
 *
 * @param figure - The figure.
 * @returns The figure with at most three decimals.
 */
export function formatFigure(figure: number): number {
	return Number(figure.toFixed(decimals));
}
