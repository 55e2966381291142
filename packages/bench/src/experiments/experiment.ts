/** A target with the measured value. */
export type TargetResult = {
	readonly name: string;
	readonly target: string;
	readonly measured: number;
	readonly met: boolean;
};

/** One line of a plot. */
export type PlotSeries = {readonly name: string; readonly points: ReadonlyArray<readonly [number, number]>};

/** A plot of an experiment. */
export type Plot = {
	readonly title: string;
	readonly xName: string;
	readonly yName: string;
	/** Labels of the x values 0, 1 and so on; without labels, the x axis is numeric. */
	readonly xLabels?: readonly string[];
	readonly series: readonly PlotSeries[];
};

/** One row of the table of figures, keyed by column. */
export type FigureRow = Readonly<Record<string, string | number>>;

/** Result of an experiment. */
export type ExperimentReport = {
	readonly targets: readonly TargetResult[];
	readonly rows: readonly FigureRow[];
	readonly plot: Plot;
};

/** Options of an experiment. */
export type ExperimentOptions = {
	readonly seed: number;
	/** Whether runs are shortened for tests; their figures are not representative. */
	readonly isQuick: boolean;
	/** Receives progress messages. */
	readonly onProgress: (text: string) => void;
};

/** Function that runs an experiment. */
export type Experiment = (options: ExperimentOptions) => Promise<ExperimentReport>;

const decimals = 3;

/**
 * Compares a figure with the highest allowed value.
 *
 * @param name - Name of the target.
 * @param measured - The figure, or `NaN` if it could not be measured.
 * @param limit - The highest allowed value.
 * @returns The result; the target is not met for `NaN`.
 */
export function checkAtMost(name: string, measured: number, limit: number): TargetResult {
	return {
		name, target: `at most ${formatFigure(limit)}`, measured: formatFigure(measured), met: measured <= limit,
	};
}

/**
 * Compares a figure with the lowest allowed value.
 *
 * @param name - Name of the target.
 * @param measured - The figure, or `NaN` if it could not be measured.
 * @param limit - The lowest allowed value.
 * @returns The result; the target is not met for `NaN`.
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
