import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {z} from 'zod';

/** Counts and latencies of one work class in one window of time. */
export type ClassWindow = {
	/** Responses that kept the promised level. */
	good: number;
	/** Responses that were too late or failed, and refusals caused by the service. */
	bad: number;
	/** Requests that count for neither: faults and disconnections of callers. */
	excluded: number;
	/** Refusals by number of the result code. */
	refused: Record<string, number>;
	/** Sum of the time waited for slots, in milliseconds. */
	waitMilliseconds: number;
	/** Whether long work of the same service ran at some time in the window. */
	hasLongWork: boolean;
	/** Latencies in units of {@link latencyUnitMilliseconds}; absent in windows that only count. */
	histogram: Histogram | undefined;
};

/** Milliseconds for one unit of a histogram. */
export const latencyUnitMilliseconds = 0.1;

/** Longest latency that a histogram tells apart: one hour, in units. */
const highestLatency = 36_000_000;

/**
 * Creates an empty window.
 *
 * @param hasHistogram - Whether latencies are kept besides the counts.
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
 * @param milliseconds - The latency; longer ones than an hour count as an hour.
 */
export function recordLatency(window: ClassWindow, milliseconds: number): void {
	window.histogram?.recordValue(Math.min(highestLatency, Math.max(1, Math.round(milliseconds / latencyUnitMilliseconds))));
}

/**
 * Merges windows of one class, from several hosts or times.
 *
 * @param windows - The windows; they are not changed.
 * @returns Sums and one histogram.
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
 * Reads a latency from a window.
 *
 * @param window - The window.
 * @param percentile - Between 0 and 100.
 * @returns Milliseconds, or nothing when no latency was recorded.
 */
export function getLatency({histogram}: ClassWindow, percentile: number): number | undefined {
	return histogram && histogram.totalCount > 0
		? Math.round(histogram.getValueAtPercentile(percentile) * latencyUnitMilliseconds * 10) / 10
		: undefined;
}

/** Schema of a window as it is stored: its start in milliseconds since the epoch and the encoded histogram. */
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

/** A window as it is stored. */
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
 * @returns The window; throws when the histogram is damaged.
 */
export function decodeClassWindow({start, histogram, ...counts}: StoredWindow): ClassWindow {
	return {...counts, histogram: histogram === undefined ? undefined : decodeFromCompressedBase64(histogram)};
}

function buildHistogram(): Histogram {
	return build({
		bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 2, numberOfSignificantValueDigits: 2,
	});
}
