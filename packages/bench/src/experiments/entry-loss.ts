import {rankHosts} from '@tanagerrail/membership';
import {
	runVariant, Variant, type Fleet, type VariantRun,
} from '../fleet/index.js';
import {
	isAnswered, planArrivals, summarizeSamples, type Sample,
} from '../load/index.js';
import {computeMaximumInFlight, listRuns} from './analyse-runs.js';
import {
	checkAtMost, formatFigure, type ExperimentOptions, type ExperimentReport,
} from './experiment.js';
import {
	buildStandardService, computeRate, describeRun, selectWindow, standardFleet, standardServiceName,
} from './standard-fleet.js';

const load = 0.6;
const killedHosts = 3;
const schedules = {
	full: {
		killAt: 4000, freezeAt: 8000, resumeAt: 13_000, end: 17_000,
	},
	quick: {
		killAt: 1000, freezeAt: 2000, resumeAt: 3000, end: 4000,
	},
};
const windowMilliseconds = 250;
const listLagMilliseconds = 1000;
const maximumP99Factor = 2;
const {entries, endpoints, slots} = standardFleet;
// Hosts in the order in which they become allocators, so that each kill and the freeze affect the current allocator.
const rankedHosts = rankHosts(standardServiceName, Array.from({length: entries}, (_, i) => `entry-${i}`));
const affectedHosts = rankedHosts.slice(0, killedHosts + 1);

type Schedule = typeof schedules.full;

/**
 * Measures the loss of entry hosts: kills three of 15, including the allocator, and later freezes the next allocator for 5 s.
 *
 * @param options - Seed and length.
 * @returns Targets for callers of the other hosts, and for the requests in flight.
 */
export async function runEntryLoss({seed, isQuick, onProgress}: ExperimentOptions): Promise<ExperimentReport> {
	const schedule = isQuick ? schedules.quick : schedules.full;
	onProgress(`kill ${affectedHosts.slice(0, killedHosts).join(', ')}, freeze ${affectedHosts[killedHosts]}`);
	const run = await runVariant({
		variant: Variant.product,
		seed,
		entries,
		testbed: {services: [buildStandardService()], listLagMilliseconds},
		arrivals: planArrivals({
			seed,
			hosts: entries,
			phases: [{milliseconds: schedule.end, rate: computeRate(load)}],
			mix: [{
				kind: 'short', share: 1, path: standardServiceName, meanMilliseconds: standardFleet.meanMilliseconds,
			}],
		}),
		faults: [
			{at: schedule.killAt, apply: killHosts},
			{
				at: schedule.freezeAt,
				apply({testbed}) {
					testbed.getEntry(affectedHosts[killedHosts]!).process.freeze();
				},
			},
			{
				at: schedule.resumeAt,
				apply({testbed}) {
					testbed.getEntry(affectedHosts[killedHosts]!).process.resume();
				},
			},
		],
		withRuns: true,
	});
	return buildReport(run, schedule);
}

function killHosts({testbed}: Fleet): void {
	for (const id of affectedHosts.slice(0, killedHosts)) {
		testbed.getEntry(id).process.kill();
		testbed.setListed(id, false);
	}
}

function buildReport(run: VariantRun, schedule: Schedule): ExperimentReport {
	const others = run.samples.filter(({arrival}) => !affectedHosts.includes(`entry-${arrival.host}`));
	const p99Before = summarizeSamples(selectWindow(others, 0, schedule.killAt)).p99;
	const points = Array.from({length: schedule.end / windowMilliseconds}, (_, i) => {
		const from = i * windowMilliseconds;
		return [from / 1000, summarizeSamples(selectWindow(others, from, from + windowMilliseconds)).p99] as const;
	});
	const countSecondsAboveLimit = (from: number, to: number) => points
		.filter(([second, p99]) => second >= from / 1000 && second < to / 1000 && p99 > maximumP99Factor * p99Before).length * windowMilliseconds / 1000;
	const maximumInFlight = computeMaximumInFlight(listRuns(run.histories));
	const failed = others.filter(sample => !isAnswered(sample));
	return {
		targets: [
			checkAtMost('failed or refused reads of callers of other hosts', failed.length, 0),
			checkAtMost('seconds with p99 above twice the former value, after the kills', countSecondsAboveLimit(schedule.killAt, schedule.freezeAt), 1),
			checkAtMost('seconds with p99 above twice the former value, during the freeze', countSecondsAboveLimit(schedule.freezeAt, schedule.resumeAt), 1),
			checkAtMost('seconds with p99 above twice the former value, after the resume', countSecondsAboveLimit(schedule.resumeAt, schedule.end), 1),
			checkAtMost('most requests in all endpoints divided by the slots', maximumInFlight / (endpoints * slots), 1 + (affectedHosts.length / entries)),
		],
		rows: [describeRun(run, {
			variant: 'product', 'former p99 ms': formatFigure(p99Before), 'most in flight': maximumInFlight, 'failures by time': describeFailures(failed),
		}, others)],
		plot: {
			title: 'p99 of callers of other hosts', xName: 's', yName: 'ms', series: [{name: 'product', points}],
		},
	};
}

/** Counts failures by second and status, which shows the event that caused them. */
function describeFailures(failed: readonly Sample[]): string {
	const counts = new Map<string, number>();
	for (const {arrival, status, code} of failed) {
		const key = `${Math.floor(arrival.at / 1000)} s: ${code || status}`;
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return [...counts].map(([key, count]) => `${key} x${count}`).join(', ');
}
