import {build, type Histogram} from 'hdr-histogram-js';
import {isAnswered, type Sample} from './arrival.js';

/** Summary statistics of a set of samples; times in milliseconds. */
export type SampleSummary = {
	readonly requests: number;
	readonly answered: number;
	/** Requests that were refused with a result code. */
	readonly refused: number;
	/** Requests with a broken connection, a timeout or an error response of an endpoint. */
	readonly failed: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
	/** Lateness of the load generator at p99. */
	readonly latenessP99: number;
};

const microsecondsPerMillisecond = 1000;

/**
 * Computes summary statistics. Latencies are those of answered requests, measured from the intended start.
 *
 * @param samples - The samples.
 * @returns The statistics; all latencies are 0 when no request was answered.
 */
export function summarizeSamples(samples: readonly Sample[]): SampleSummary {
	const answered = samples.filter(isAnswered);
	const latency = buildHistogram(answered.map(sample => sample.latency));
	const lateness = buildHistogram(samples.map(sample => sample.lateness));
	const refused = samples.filter(sample => sample.code > 0).length;
	return {
		requests: samples.length,
		answered: answered.length,
		refused,
		failed: samples.length - answered.length - refused,
		p50: readPercentile(latency, 50),
		p99: readPercentile(latency, 99),
		p999: readPercentile(latency, 99.9),
		max: readPercentile(latency, 100),
		latenessP99: readPercentile(lateness, 99),
	};
}

/**
 * Computes a percentile of durations.
 *
 * @param milliseconds - The durations.
 * @param percentile - From 0 to 100.
 * @returns The percentile in milliseconds; 0 when the list is empty.
 */
export function computePercentile(milliseconds: readonly number[], percentile: number): number {
	return readPercentile(buildHistogram(milliseconds), percentile);
}

function buildHistogram(milliseconds: readonly number[]): Histogram {
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const value of milliseconds) {
		histogram.recordValue(Math.max(0, Math.round(value * microsecondsPerMillisecond)));
	}

	return histogram;
}

function readPercentile(histogram: Histogram, percentile: number): number {
	return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
}
