import type {ClassReport, LevelReport} from '@tanagerrail/measuring';
import type {CollectedLevels} from './collect-levels.js';
import {valueFormats} from './format-value.js';

const {share, milliseconds, rate, time} = valueFormats;

/**
 * Renders a report as plain text for the terminal.
 *
 * @param collected - The report and its warnings.
 * @returns The text, ending with a line break.
 */
export function renderReportText({report, warnings}: CollectedLevels): string {
	const lines = [
		`Service levels at ${time(report.at)}, counts of ${report.hosts.length} processes (${report.hosts.filter(({isLive}) => isLive).length} live)`,
		...report.missing.map(({hostId, reason, since}) => `MISSING ${hostId}: ${reason}, last counts ${time(since)}; not counted as good`),
		...report.unreadable.map(key => `UNREADABLE ${key}; not counted as good`),
		...warnings.map(warning => `warning: ${warning}`),
		...report.services.flatMap(service => ['', ...renderService(service)]),
	];
	return `${lines.join('\n')}\n`;
}

function renderService({name, cost, classes}: LevelReport['services'][number]): string[] {
	return [
		`service ${name}`,
		`  measurement cost: at most ${cost.peakMessages} of ${cost.probesPerSecondAllowed} probes and ${cost.peakBytes} of ${cost.bytesPerSecondAllowed} bytes per second,`
		+ ` ${milliseconds(cost.processorMilliseconds)} of processor time in 10 min`,
		...classes.flatMap(workClass => renderClass(workClass)),
	];
}

function renderClass(workClass: ClassReport): string[] {
	const {
		name, kind, objective, windowDays, latencyMilliseconds, verdict, good, bad, excluded, burn, budgetLeft, budgetLeftAtWorst, latency, peak, behindLong, refused,
	} = workClass;
	const promise = objective === undefined ? 'no service level promised' : `${share(objective)} within ${milliseconds(latencyMilliseconds)} over ${windowDays} days`;
	return [
		`  class ${name} (${kind}): ${promise}: ${verdict}`,
		`    requests: ${good} good, ${bad} bad, ${excluded} excluded; error budget left ${share(budgetLeft)}, ${share(budgetLeftAtWorst)} if all missing counts are bad`,
		...burn.map(pair => `    burn rate: ${rate(pair.shortRate)} over ${pair.shortMinutes} min, ${rate(pair.longRate)} over ${pair.longMinutes} min`
			+ ` (alert above ${rate(pair.threshold)})${pair.isAlerting ? ' ALERT' : ''}`),
		`    latency: p50 ${milliseconds(latency.p50)}, p99 ${milliseconds(latency.p99)}, p99.9 ${milliseconds(latency.p999)}`,
		`    at peak load (${peak.requestsPerSecond} requests/s): ${share(peak.goodShare)} good, ${share(peak.goodShareOverall)} overall`,
		...(behindLong ? [`    p99 while long work runs: ${milliseconds(behindLong.p99With)}, otherwise: ${milliseconds(behindLong.p99Without)}`] : []),
		...refused.map(({code, id, count}) => `    refused: ${count} with code ${code} (${id})`),
	];
}
