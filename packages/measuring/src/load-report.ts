import type {IncomingHttpHeaders} from 'node:http';

/** Load that an endpoint reports for itself; always slightly out of date, and possibly wrong. */
export type LoadReport = {
	/** Metrics by name, for example `named_metrics.in_flight` or `cpu_utilization`. */
	readonly metrics: Readonly<Record<string, number>>;
	readonly isDraining: boolean;
};

const textPrefix = /^TEXT\s+/iv;

/**
 * Parses the load report in the headers of a response: `endpoint-load-metrics` in the text form of ORCA (Open Request
 * Cost Aggregation, gRFC A51) and `endpoint-state`.
 *
 * @param headers - Headers of the response, with lower-case names.
 * @returns The report, or `undefined` if the response has neither header; malformed parts are skipped.
 */
export function parseLoadReport(headers: IncomingHttpHeaders): LoadReport | undefined {
	const text = headers['endpoint-load-metrics'];
	const state = headers['endpoint-state'];
	if (text === undefined && state === undefined) {
		return undefined;
	}

	const pairs = typeof text === 'string' && textPrefix.test(text) ? text.replace(textPrefix, '').split(',') : [];
	const metrics: Record<string, number> = {};
	for (const pair of pairs) {
		const [name = '', value = ''] = pair.split('=', 2).map(part => part.trim());
		if (/^[\w.\-]+$/v.test(name) && value !== '' && Number.isFinite(Number(value))) {
			metrics[name] = Number(value);
		}
	}

	return {metrics, isDraining: state === 'draining'};
}
