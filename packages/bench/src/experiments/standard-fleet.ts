import type {ServiceConfiguration, WorkClass} from '@tanagerrail/configuration';
import type {EndpointBehaviour} from '@tanagerrail/stand-ins';
import type {VariantRun} from '../fleet/index.js';
import {planArrivals, summarizeSamples, type Sample} from '../load/index.js';
import {buildService, shortWorkClass, type TestbedService} from '../testbed/index.js';
import {formatFigure, type FigureRow} from './experiment.js';

/**
 * Size of the fleet in most experiments. With a mean service time of 20 ms, processor time is not the limit on a shared machine of
 * 10 cores: 1,500 requests/s use one to two cores in 15 entry hosts, and half a core in the single process of the bound.
 */
export const standardFleet = {
	entries: 15, endpoints: 10, slots: 3, meanMilliseconds: 20, deadlineMilliseconds: 1000,
} as const;

/** Name of the service in most experiments. */
export const standardServiceName = 'claim-status';

/** Work class of the reads in most experiments. */
export const readClass: WorkClass = {
	...shortWorkClass, usualMilliseconds: standardFleet.meanMilliseconds, deadlineMilliseconds: standardFleet.deadlineMilliseconds,
};

// Node.js timers have a resolution of 1 ms and fire about 0.5 ms late on average.
const timerDelayMilliseconds = 0.5;

/**
 * Builds the service of most experiments: 10 endpoints with 3 slots.
 *
 * @param overrides - Fields of the configuration that differ, and the behaviour of the endpoints.
 * @returns The service.
 */
export function buildStandardService({configuration = {}, behaviour = {}}: {
	configuration?: Partial<ServiceConfiguration>;
	behaviour?: Partial<EndpointBehaviour>;
} = {}): TestbedService {
	return {
		configuration: buildService(standardServiceName, {
			slotsPerEndpoint: standardFleet.slots, workClasses: [{...readClass, name: shortWorkClass.name}], ...configuration,
		}),
		endpoints: standardFleet.endpoints,
		behaviour,
	};
}

/**
 * Computes the request rate that uses a share of the slots' capacity.
 *
 * @param share - Share of the capacity, for example 0.8.
 * @param meanMilliseconds - Mean service time, without the delay of the stand-in's timers.
 * @returns Requests per second.
 */
export function computeRate(share: number, meanMilliseconds: number = standardFleet.meanMilliseconds): number {
	return share * standardFleet.endpoints * standardFleet.slots * 1000 / (meanMilliseconds + timerDelayMilliseconds);
}

/**
 * Plans reads at a constant rate.
 *
 * @param options - Seed, load as a share of the slots' capacity, and duration.
 * @returns The arrivals, spread over all entry hosts.
 */
export function planStandardArrivals({seed, load, milliseconds}: {seed: number; load: number; milliseconds: number}): ReturnType<typeof planArrivals> {
	return planArrivals({
		seed,
		hosts: standardFleet.entries,
		phases: [{milliseconds, rate: computeRate(load)}],
		mix: [{
			kind: 'short', share: 1, path: standardServiceName, meanMilliseconds: standardFleet.meanMilliseconds,
		}],
	});
}

/**
 * Selects the samples whose intended start lies in a time window.
 *
 * @param samples - The samples.
 * @param from - Start of the window in milliseconds, included.
 * @param to - End of the window in milliseconds, excluded.
 * @returns The selected samples.
 */
export function selectWindow(samples: readonly Sample[], from: number, to: number): Sample[] {
	return samples.filter(({arrival}) => arrival.at >= from && arrival.at < to);
}

/**
 * Describes a run in one row of figures.
 *
 * @param run - The run.
 * @param labels - Columns that identify the run.
 * @param samples - Samples to summarize; by default all samples of the run.
 * @returns The row: times in milliseconds, processor use in cores, memory in megabytes.
 */
export function describeRun(run: VariantRun, labels: FigureRow, samples: readonly Sample[] = run.samples): FigureRow {
	const {requests, refused, failed, p50, p99, p999, latenessP99} = summarizeSamples(samples);
	return {
		...labels,
		requests,
		refused,
		failed,
		'p50 ms': formatFigure(p50),
		'p99 ms': formatFigure(p99),
		'p99.9 ms': formatFigure(p999),
		'generator late p99 ms': formatFigure(latenessP99),
		'entry cores': formatFigure(run.entryCores),
		'endpoint cores': formatFigure(run.endpointCores),
		'processor pressure': formatFigure(run.processorPressure),
		repeats: run.repeats,
		'entry MB': Math.round(run.entryBytes / 1e6),
	};
}
