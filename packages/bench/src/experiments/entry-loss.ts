import {rankHosts} from '@tanagerrail/membership';
import {
	runVariant, Variant, type Fleet, type VariantRun,
} from '../fleet/index.js';
import {
	isAnswered, planArrivals, summarizeSamples, type Sample,
} from '../load/index.js';
import {computeMostInFlight, listRuns} from './analyse-runs.js';
import {
	checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {
	buildStandardService, computeRate, describeRun, selectWindow, standardFleet, standardServiceName,
} from './standard-fleet.js';

const load = 0.6;
const killed = 3;
const lengths = {
	full: {
		killAt: 4000, freezeAt: 8000, resumeAt: 13_000, end: 17_000,
	},
	quick: {
		killAt: 1000, freezeAt: 2000, resumeAt: 3000, end: 4000,
	},
};
const windowMilliseconds = 250;
const listLagMilliseconds = 1000;
const allowedFactor = 2;
const {entries, endpoints, slots} = standardFleet;
// The hosts in the allocator's order, so that the kills and the freeze hit the allocator each time.
const ranked = rankHosts(standardServiceName, Array.from({length: entries}, (_, i) => `entry-${i}`));
const lost = ranked.slice(0, killed + 1);

type Lengths = typeof lengths.full;

/**
 * Kills three of 15 entry hosts, among them the allocator, and freezes the next allocator for 5 s.
 *
 * @param options - Seed and length.
 * @returns Targets for callers of the other hosts, and of slots in use.
 */
export async function runEntryLoss({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const length = isQuick ? lengths.quick : lengths.full;
	onProgress(`kill ${lost.slice(0, killed).join(', ')}, freeze ${lost[killed]}`);
	const run = await runVariant({
		variant: Variant.product,
		seed,
		entries,
		testbed: {services: [buildStandardService()], listLagMilliseconds},
		arrivals: planArrivals({
			seed,
			hosts: entries,
			phases: [{milliseconds: length.end, rate: computeRate(load)}],
			mix: [{
				kind: 'short', share: 1, path: standardServiceName, meanMilliseconds: standardFleet.meanMilliseconds,
			}],
		}),
		faults: [
			{at: length.killAt, apply: killHosts},
			{
				at: length.freezeAt,
				apply({testbed}) {
					testbed.getEntry(lost[killed]!).process.freeze();
				},
			},
			{
				at: length.resumeAt,
				apply({testbed}) {
					testbed.getEntry(lost[killed]!).process.resume();
				},
			},
		],
		withRuns: true,
	});
	return buildReport(run, length);
}

function killHosts({testbed}: Fleet): void {
	for (const id of lost.slice(0, killed)) {
		testbed.getEntry(id).process.kill();
		testbed.setListed(id, false);
	}
}

function buildReport(run: VariantRun, length: Lengths): ExperimentReport {
	const others = run.samples.filter(({arrival}) => !lost.includes(`entry-${arrival.host}`));
	const former = summarizeSamples(selectWindow(others, 0, length.killAt)).p99;
	const points = Array.from({length: length.end / windowMilliseconds}, (_, i) => {
		const from = i * windowMilliseconds;
		return [from / 1000, summarizeSamples(selectWindow(others, from, from + windowMilliseconds)).p99] as const;
	});
	const countHigh = (from: number, to: number) => points
		.filter(([second, p99]) => second >= from / 1000 && second < to / 1000 && p99 > allowedFactor * former).length * windowMilliseconds / 1000;
	const most = computeMostInFlight(listRuns(run.histories));
	const failed = others.filter(sample => !isAnswered(sample));
	return {
		targets: [
			checkAtMost('failed or refused reads of callers of other hosts', failed.length, 0),
			checkAtMost('seconds with p99 above twice the former value, after the kills', countHigh(length.killAt, length.freezeAt), 1),
			checkAtMost('seconds with p99 above twice the former value, during the freeze', countHigh(length.freezeAt, length.resumeAt), 1),
			checkAtMost('seconds with p99 above twice the former value, after the resume', countHigh(length.resumeAt, length.end), 1),
			checkAtMost('most requests in all endpoints divided by the slots', most / (endpoints * slots), 1 + (lost.length / entries)),
		],
		rows: [describeRun(run, {
			variant: 'product', 'former p99 ms': formatFigure(former), 'most in flight': most, 'failures by time': describeTimes(failed),
		}, others)],
		plot: {
			title: 'p99 of callers of other hosts', xName: 's', yName: 'ms', series: [{name: 'product', points}],
		},
	};
}

/** Counts failures by second and status, to tell which event they belong to. */
function describeTimes(failed: readonly Sample[]): string {
	const counts = new Map<string, number>();
	for (const {arrival, status, code} of failed) {
		const key = `${Math.floor(arrival.at / 1000)} s: ${code || status}`;
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return [...counts].map(([key, count]) => `${key} x${count}`).join(', ');
}
