import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {z} from 'zod';

/** Counts and latencies of one work class in one time window. */
export type ClassWindow = {
	/** Responses from endpoints that had a status below 500 and were not too late. */
	good: number;
	/** Responses that were too late or failed, and refusals caused by the service. */
	bad: number;
	/** Requests that count as neither good nor bad: errors and disconnections of the caller. */
	excluded: number;
	/** Number of refusals by result code. */
	refused: Record<string, number>;
	/** Total time spent waiting for slots, in milliseconds. */
	waitMilliseconds: number;
	/** Whether long work of the same service ran at some time in the window. */
	hasLongWork: boolean;
	/** Latencies in units of {@link latencyUnitMilliseconds}; absent in windows with counts only. */
	histogram: Histogram | undefined;
};

/** One unit of a histogram, in milliseconds. */
export const latencyUnitMilliseconds = 0.1;

/** Largest recorded latency: one hour, in units of {@link latencyUnitMilliseconds}. */
const maximumLatencyUnits = 36_000_000;

/**
 * Creates an empty window.
 *
 * @param hasHistogram - Whether to keep latencies in addition to the counts.
 * @returns The window.
 */
export function createClassWindow(hasHistogram: boolean): ClassWindow {
	return {
		good: 0, bad: 0, excluded: 0, refused: {}, waitMilliseconds: 0, hasLongWork: false, histogram: hasHistogram ? buildHistogram() : undefined,
	};
}

/**
 * Records a latency.
 *
 * @param window - The window.
 * @param milliseconds - The latency; recorded as at most one hour.
 */
export function recordLatency(window: ClassWindow, milliseconds: number): void {
	window.histogram?.recordValue(Math.min(maximumLatencyUnits, Math.max(1, Math.round(milliseconds / latencyUnitMilliseconds))));
}

/**
 * Merges windows of one work class from several hosts or times.
 *
 * @param windows - The windows; they are not changed.
 * @returns The summed counts and one histogram.
 */
export function mergeClassWindows(windows: readonly ClassWindow[]): ClassWindow {
	const merged = createClassWindow(true);
	for (const window of windows) {
		merged.good += window.good;
		merged.bad += window.bad;
		merged.excluded += window.excluded;
		merged.waitMilliseconds += window.waitMilliseconds;
		merged.hasLongWork ||= window.hasLongWork;
		for (const [code, count] of Object.entries(window.refused)) {
			merged.refused[code] = (merged.refused[code] ?? 0) + count;
		}

		if (window.histogram) {
			merged.histogram!.add(window.histogram);
		}
	}

	return merged;
}

/**
 * Returns a percentile of the latencies of a window.
 *
 * @param window - The window.
 * @param percentile - Between 0 and 100.
 * @returns The latency in milliseconds, or `undefined` if none was recorded.
 */
export function getLatencyPercentile({histogram}: ClassWindow, percentile: number): number | undefined {
	return histogram && histogram.totalCount > 0
		? Math.round(histogram.getValueAtPercentile(percentile) * latencyUnitMilliseconds * 10) / 10
		: undefined;
}

/** Schema of a stored window, with its start in milliseconds since the epoch and the encoded histogram. */
export const storedWindowSchema = z.object({
	start: z.number(),
	good: z.int().min(0),
	bad: z.int().min(0),
	excluded: z.int().min(0),
	refused: z.record(z.string(), z.int().min(0)),
	waitMilliseconds: z.number(),
	hasLongWork: z.boolean(),
	histogram: z.string().optional(),
});

/** A window in its stored form. */
export type StoredWindow = z.output<typeof storedWindowSchema>;

/**
 * Encodes a window for storage.
 *
 * @param start - Start of the window in milliseconds since the epoch.
 * @param window - The window.
 * @returns A plain object; the histogram is in the compressed Base64 form of HdrHistogram.
 */
export function encodeClassWindow(start: number, {histogram, ...counts}: ClassWindow): StoredWindow {
	return {
		start, ...counts, refused: {...counts.refused}, histogram: histogram && histogram.totalCount > 0 ? encodeIntoCompressedBase64(histogram) : undefined,
	};
}

/**
 * Decodes a stored window.
 *
 * @param stored - The stored form.
 * @returns The window; throws if the histogram is malformed.
 */
export function decodeClassWindow({start, histogram, ...counts}: StoredWindow): ClassWindow {
	return {...counts, histogram: histogram === undefined ? undefined : decodeFromCompressedBase64(histogram)};
}

function buildHistogram(): Histogram {
	return build({
		bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 2, numberOfSignificantValueDigits: 2,
	});
}
