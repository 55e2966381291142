import process from 'node:process';
import type {MeasuringCost} from '@tanagerrail/measuring';
import {getViolationCounts, type Clock, type Metrics} from '@tanagerrail/telemetry';

/** Options of {@link HostMetrics}. */
export type HostMetricsOptions = {
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly getInProgress: () => number;
	/** Time between two reports, in milliseconds. */
	readonly intervalMilliseconds: number;
};

/** Defaults of {@link HostMetricsOptions}. */
export const defaultHostMetricsOptions = {intervalMilliseconds: 10_000};

/** Reports gauges of the process at intervals, and the cost of load probes per second. */
export class HostMetrics {
	readonly #options: HostMetricsOptions;
	#usage = process.cpuUsage();
	#reportedAt: number;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: Partial<HostMetricsOptions> & Omit<HostMetricsOptions, 'intervalMilliseconds'>) {
		this.#options = {...defaultHostMetricsOptions, ...options};
		this.#reportedAt = this.#options.clock();
	}

	/** Starts to report at intervals. */
	start(): void {
		this.#timer ??= setInterval(() => {
			this.report();
		}, this.#options.intervalMilliseconds).unref();
	}

	/** Reports a last time and closes the metrics client. */
	stop(): void {
		clearInterval(this.#timer);
		this.report();
		this.#options.metrics.close();
	}

	/** Reports the gauges. */
	report(): void {
		const {metrics, clock, getInProgress} = this.#options;
		const usage = process.cpuUsage();
		const now = clock();
		const microseconds = usage.user + usage.system - this.#usage.user - this.#usage.system;
		metrics.setGauge('request.in_progress', getInProgress());
		metrics.setGauge('process.resident_memory', process.memoryUsage.rss());
		metrics.setGauge('process.processor_share', microseconds / 1000 / Math.max(1, now - this.#reportedAt));
		for (const [invariant, count] of Object.entries(getViolationCounts())) {
			metrics.setGauge('invariant.violations', count, {invariant});
		}

		this.#usage = usage;
		this.#reportedAt = now;
	}

	/**
	 * Records the cost of the load probes of one second.
	 *
	 * @param service - Name of the service.
	 * @param cost - Number of probes, bytes and processor time.
	 */
	recordCost(service: string, {messages, bytes, processorMilliseconds}: MeasuringCost): void {
		const {metrics} = this.#options;
		metrics.count('measuring.messages', messages, {service});
		metrics.count('measuring.bytes', bytes, {service});
		metrics.recordTiming('measuring.processor_time', processorMilliseconds, {service});
	}
}
