import type {ClassReport, LevelReport} from '@tanagerrail/measuring';
import type {CollectedLevels} from './collect-levels.js';
import {valueFormats} from './format-value.js';
import {escapeMarkup, renderBarPlot, renderLinePlot} from './render-plots.js';

const {share, milliseconds, rate, time} = valueFormats;

/** Time range of the burn rate plots, in milliseconds: six hours. */
const burnPlotMilliseconds = 6 * 3_600_000;

const styleSheet = `
:root{color-scheme:light dark;--ink:#1c2733;--soft:#5c6b7a;--line:#d6dde4;--page:#f6f8fa;--card:#fff;--short:#c2570c;--long:#1d5fa8;--bar:#4a7fb5;--over:#c0392b}
@media (prefers-color-scheme:dark){:root{--ink:#e4eaf0;--soft:#9aa8b5;--line:#36424e;--page:#12181e;--card:#1b232b;--short:#f0985a;--long:#74aee8;--bar:#5f97d0;--over:#e8705f}}
body{margin:0 auto;max-width:1220px;padding:24px;background:var(--page);color:var(--ink);font:15px/1.45 system-ui,sans-serif}
h1{font-size:24px;margin:0 0 4px}h2{font-size:20px;margin:32px 0 8px}h3{font-size:16px;margin:0 0 4px}h4{font-size:13px;margin:14px 0 4px;color:var(--soft);font-weight:600}
section{background:var(--card);border:1px solid var(--line);border-radius:8px;padding:16px 20px;margin:0 0 16px}
.grid2{display:grid;grid-template-columns:repeat(auto-fit,minmax(min(100%,480px),1fr));gap:0 32px}
.soft{color:var(--soft)}.missing{border-left:5px solid var(--over)}
.verdict{display:inline-block;padding:0 8px;border-radius:10px;border:1px solid currentcolor;font-size:13px}.broken,.alert{color:var(--over)}
svg{width:100%;max-width:620px;height:auto;display:block}svg text{font:11px system-ui,sans-serif;fill:var(--soft)}
.grid{stroke:var(--line)}.threshold{stroke:var(--over);stroke-width:1.5;stroke-dasharray:4 3}
path{fill:none;stroke-width:1.8}path.short{stroke:var(--short)}path.long{stroke:var(--long)}circle.short{fill:var(--short)}circle.long{fill:var(--long)}
rect.bar{fill:var(--bar)}rect.over{fill:var(--over)}
.key::before{content:"";display:inline-block;width:18px;border-top:3px solid;vertical-align:middle;margin:0 6px 0 0}
.key.short::before{color:var(--short)}.key.long::before{color:var(--long)}.key.limit::before{color:var(--over);border-top-style:dashed}
.key{margin-right:14px;font-size:12px;color:var(--soft)}
`;

/**
 * Renders a report as one self-contained HTML page with inline SVG plots.
 *
 * @param collected - The report and its warnings.
 * @returns The page, which loads no external resources.
 */
export function renderReportHtml({report, warnings}: CollectedLevels): string {
	return [
		'<!doctype html><html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">',
		`<title>tanagerrail service levels</title><style>${styleSheet}</style></head><body>`,
		'<h1>Service levels</h1>',
		`<p class="soft">${time(report.at)}, counts of ${report.hosts.length} processes, ${report.hosts.filter(({isLive}) => isLive).length} of them live. All times are UTC.</p>`,
		renderMissing(report, warnings),
		...report.services.map(service => renderService(service, report.at)),
		'</body></html>\n',
	].join('\n');
}

function renderMissing({missing, unreadable}: LevelReport, warnings: readonly string[]): string {
	const items = [
		...missing.map(({hostId, reason, since}) => `Host <b>${escapeMarkup(hostId)}</b>: ${reason}, last counts ${time(since)}.`),
		...unreadable.map(key => `Snapshot <b>${escapeMarkup(key)}</b> cannot be read.`),
		...warnings.map(warning => escapeMarkup(warning)),
	];
	return items.length === 0
		? '<p>No counts are missing.</p>'
		: `<section class="missing"><h3>Missing counts</h3><p>Missing requests are not counted as good.</p><ul>${items.map(item => `<li>${item}</li>`).join('')}</ul></section>`;
}

function renderService({name, cost, classes}: LevelReport['services'][number], now: number): string {
	return `<h2>${escapeMarkup(name)}</h2><section><h3>Measurement cost</h3><p class="soft">Highest cost within one second of the last 10 min, as a share of the budget;`
		+ ` ${milliseconds(cost.processorMilliseconds)} of processor time in total.</p>${
			renderBarPlot('measurement cost', [
				{
					label: 'probes/s', value: cost.peakMessages / Math.max(1, cost.probesPerSecondAllowed), text: `${cost.peakMessages} of ${cost.probesPerSecondAllowed}`, limit: 1,
				},
				{
					label: 'bytes/s', value: cost.peakBytes / Math.max(1, cost.bytesPerSecondAllowed), text: `${cost.peakBytes} of ${cost.bytesPerSecondAllowed}`, limit: 1,
				},
			])}</section>${classes.map(workClass => renderClass(workClass, now)).join('')}`;
}

function renderClass(workClass: ClassReport, now: number): string {
	const {name, kind, objective, latencyMilliseconds, windowDays, verdict, good, bad, excluded} = workClass;
	const promise = objective === undefined ? 'No service level is promised.' : `${share(objective)} within ${milliseconds(latencyMilliseconds)} over ${windowDays} days.`;
	return `<section><h3>${escapeMarkup(name)} <span class="soft">(${kind})</span> <span class="verdict ${verdict}">${verdict}</span></h3>`
		+ `<p class="soft">${promise} ${good} good, ${bad} bad, ${excluded} excluded.</p><div class="grid2">`
		+ `<div>${renderBurn(workClass, now)}${renderBudget(workClass)}${renderRefused(workClass)}</div><div>${renderQuality(workClass)}</div></div></section>`;
}

function renderBurn({burn, burnSeries}: ClassReport, now: number): string {
	if (burn.length === 0) {
		return '';
	}

	const plot = renderLinePlot({
		title: 'burn rate',
		from: now - burnPlotMilliseconds,
		to: now,
		threshold: burn[0]!.threshold,
		lines: [
			{label: '5 min', style: 'short', points: burnSeries.map(({at, short}) => ({at, value: short}))},
			{label: '1 h', style: 'long', points: burnSeries.map(({at, long}) => ({at, value: long}))},
		],
	});
	const rows = burn.map(pair => `<li${pair.isAlerting ? ' class="alert"' : ''}>${rate(pair.shortRate)} over ${pair.shortMinutes} min and ${rate(pair.longRate)} over ${pair.longMinutes} min; `
		+ `alert when both are above ${rate(pair.threshold)}${pair.isAlerting ? ': <b>alert</b>' : ''}</li>`);
	return `<h4>Burn rate of the error budget</h4>${plot}<span class="key short">over 5 min</span><span class="key long">over 1 h</span><span class="key limit">alert</span><ul>${rows.join('')}</ul>`;
}

function renderBudget({budgetLeft, budgetLeftAtWorst, objective}: ClassReport): string {
	return objective === undefined
		? ''
		: `<h4>Error budget left</h4>${renderBarPlot('error budget left', [
			{label: 'measured', value: budgetLeft, text: share(budgetLeft)},
			{label: 'if missing are bad', value: budgetLeftAtWorst, text: share(budgetLeftAtWorst)},
		], 1)}`;
}

function renderRefused({refused}: ClassReport): string {
	return `<h4>Refused, by result code</h4>${refused.length === 0
		? '<p class="soft">No requests were refused.</p>'
		: renderBarPlot('refused', refused.map(({code, id, count}) => ({label: `${code} ${id}`, value: count, text: String(count)})))}`;
}

function renderQuality({latency, latencyMilliseconds, objective, peak, behindLong}: ClassReport): string {
	const limit = objective === undefined ? undefined : latencyMilliseconds;
	const tail = renderBarPlot('tail latency', [
		{
			label: 'p50', value: latency.p50, text: milliseconds(latency.p50), limit,
		},
		{
			label: 'p99', value: latency.p99, text: milliseconds(latency.p99), limit,
		},
		{
			label: 'p99.9', value: latency.p999, text: milliseconds(latency.p999), limit,
		},
	]);
	const level = renderBarPlot('service level at peak load', [
		{label: `at ${peak.requestsPerSecond} requests/s`, value: peak.goodShare, text: share(peak.goodShare)},
		{label: 'overall', value: peak.goodShareOverall, text: share(peak.goodShareOverall)},
	], 1);
	const behind = behindLong && renderBarPlot('short work while long work runs', [
		{label: 'p99, long work runs', value: behindLong.p99With, text: milliseconds(behindLong.p99With)},
		{label: 'p99, otherwise', value: behindLong.p99Without, text: milliseconds(behindLong.p99Without)},
	]);
	return `<h4>Tail latency, last 10 min${limit === undefined ? '' : ' (dashed line: promised)'}</h4>${tail}<h4>Good responses at peak load: the busiest tenth of the last 10 min</h4>${level}`
		+ (behind ? `<h4>Short work while long work runs</h4>${behind}` : '');
}
