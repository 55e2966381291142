import {StatsD} from 'hot-shots';
import type {MetricName} from './metric-table.js';

/** Tags of a metric, for example `service` and `work_class`. */
export type MetricTags = Readonly<Record<string, string>>;

/** StatsD client for the metrics of one process; docs/metrics.md lists the names. */
export type Metrics = {
	count(name: MetricName, value: number, tags?: MetricTags): void;
	setGauge(name: MetricName, value: number, tags?: MetricTags): void;
	/** Records a duration in milliseconds. */
	recordTiming(name: MetricName, milliseconds: number, tags?: MetricTags): void;
	close(): void;
};

/** Options of {@link createMetrics}. */
export type MetricsOptions = {
	/** IP address of the StatsD server; if absent, no metrics are sent. */
	readonly host?: string;
	/** UDP port of the StatsD server. */
	readonly port: number;
	/** Prefix of every metric name. */
	readonly prefix: string;
	/** Tags of every metric. */
	readonly tags: MetricTags;
};

/** Defaults of {@link MetricsOptions}. */
export const defaultMetricsOptions: MetricsOptions = {port: 8125, prefix: 'tanagerrail.', tags: {}};

/**
 * Creates the metrics client of a process.
 *
 * @param options - Address of the server, prefix and common tags.
 * @returns A client that sends metrics in batches over UDP, or drops them if there is no address.
 */
export function createMetrics(options: Partial<MetricsOptions> = {}): Metrics {
	const {host, port, prefix, tags} = {...defaultMetricsOptions, ...options};
	const client = new StatsD({
		host: host ?? '127.0.0.1',
		port,
		prefix,
		globalTags: {...tags},
		mock: host === undefined,
		maxBufferSize: 1400,
		bufferFlushInterval: 250,
		errorHandler() {/* Send errors are ignored: metrics may be lost. */},
	});
	const isEnabled = host !== undefined;
	return {
		count(name, value, metricTags) {
			if (isEnabled) {
				client.increment(name, value, {...metricTags});
			}
		},
		setGauge(name, value, metricTags) {
			if (isEnabled) {
				client.gauge(name, value, {...metricTags});
			}
		},
		recordTiming(name, milliseconds, metricTags) {
			if (isEnabled) {
				client.timing(name, milliseconds, {...metricTags});
			}
		},
		close() {
			client.close(() => undefined);
		},
	};
}
