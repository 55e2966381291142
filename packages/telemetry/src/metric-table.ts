/** One row of the metric table. */
export type MetricRow = {
	readonly kind: 'count' | 'gauge' | 'timing';
	readonly unit: string;
	/** Tags besides `host`, which every metric carries. */
	readonly tags: readonly string[];
	readonly meaning: string;
};

/** All metrics by name, without the prefix; docs/metrics.md is generated from this table. */
export const metricTable = {
	'request.duration': {
		kind: 'timing', unit: 'ms', tags: ['service', 'work_class'], meaning: 'Time from the arrival of a request to the end of its response, refusals included.',
	},
	'request.finished': {
		kind: 'count', unit: 'requests', tags: ['service', 'work_class', 'status_class'], meaning: 'Requests that got a response, by class of the HTTP status, for example `2xx`.',
	},
	'request.refused': {
		kind: 'count', unit: 'requests', tags: ['service', 'work_class', 'code'], meaning: 'Requests that were refused or failed after their route was known, by result code number.',
	},
	'request.malformed': {
		kind: 'count', unit: 'requests', tags: ['code'], meaning: 'Requests and connections that were refused before a route was known, by result code number.',
	},
	'request.in_progress': {
		kind: 'gauge', unit: 'requests', tags: [], meaning: 'Requests whose response is not complete.',
	},
	'measuring.messages': {
		kind: 'count', unit: 'probes', tags: ['service'], meaning: 'Load probes sent to endpoints.',
	},
	'measuring.bytes': {
		kind: 'count', unit: 'bytes', tags: ['service'], meaning: 'Bytes sent and received by load probes.',
	},
	'measuring.processor_time': {
		kind: 'timing', unit: 'ms', tags: ['service'], meaning: 'Processor time spent on load probes per second; seconds without probes are not sent.',
	},
	'invariant.violations': {
		kind: 'gauge', unit: 'violations', tags: ['invariant'], meaning: 'Violations of an invariant since the start of the process; not sent while 0.',
	},
	'process.resident_memory': {
		kind: 'gauge', unit: 'bytes', tags: [], meaning: 'Resident memory of the process.',
	},
	'process.processor_share': {
		kind: 'gauge', unit: 'cores', tags: [], meaning: 'Processor time of the process since the last report, divided by the elapsed time.',
	},
} as const satisfies Record<string, MetricRow>;

/** Name of a metric. */
export type MetricName = keyof typeof metricTable;

/**
 * Formats a metric as a row of docs/metrics.md.
 *
 * @param name - Name of the metric.
 * @returns One row of a Markdown table.
 */
export function formatMetricRow(name: MetricName): string {
	const {kind, unit, tags, meaning}: MetricRow = metricTable[name];
	return `| \`tanagerrail.${name}\` | ${kind} | ${unit} | ${['host', ...tags].map(tag => `\`${tag}\``).join(', ')} | ${meaning} |`;
}
