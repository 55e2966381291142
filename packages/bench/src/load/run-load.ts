import path from 'node:path';
import {Worker} from 'node:worker_threads';
import type {Arrival, Sample} from './arrival.js';
import type {LoadResult, LoadWorkerData} from './load-worker.js';

/** Options of {@link runLoad}. */
export type LoadOptions = {
	/** Arrivals, ordered by time. */
	readonly arrivals: readonly Arrival[];
	/** `ip:port` of the entry hosts; {@link Arrival.host} is an index of this list. */
	readonly addresses: readonly string[];
	/** Number of worker threads; arrivals are distributed among them in round-robin order. */
	readonly workers: number;
	/** Delay before the run, in which the workers start, in milliseconds. */
	readonly startDelayMilliseconds: number;
	/** Called when the run starts, to schedule faults. */
	readonly onStart: () => void;
};

/** Defaults of {@link LoadOptions}. */
export const defaultLoadOptions = {
	workers: 3,
	startDelayMilliseconds: 500,
	onStart() {/* Most runs have no faults. */},
};

/**
 * Sends planned arrivals at their intended times, regardless of whether earlier requests have ended (open loop).
 *
 * @param options - Arrivals and addresses of the entry hosts.
 * @returns One sample for each arrival, in the same order.
 */
export async function runLoad(options: Partial<LoadOptions> & Pick<LoadOptions, 'arrivals' | 'addresses'>): Promise<Sample[]> {
	const {arrivals, addresses, workers, startDelayMilliseconds, onStart} = {...defaultLoadOptions, ...options};
	const startAt = performance.timeOrigin + performance.now() + startDelayMilliseconds;
	const timer = setTimeout(onStart, startDelayMilliseconds);
	try {
		const resultsByWorker = await Promise.all(Array.from({length: workers}, async (_, worker) => runWorker({
			arrivals: arrivals.filter((_arrival, index) => index % workers === worker), addresses, startAt,
		})));
		return arrivals.map((arrival, index) => {
			const [latency, lateness, status, code] = resultsByWorker[index % workers]![Math.floor(index / workers)]!;
			return {
				arrival, latency, lateness, status, code,
			};
		});
	} finally {
		clearTimeout(timer);
	}
}

async function runWorker(workerData: LoadWorkerData): Promise<LoadResult[]> {
	return new Promise((resolve, reject) => {
		const worker = new Worker(path.join(import.meta.dirname, 'load-worker.js'), {workerData});
		worker.once('message', resolve);
		worker.once('error', reject);
	});
}
