import path from 'node:path';
import {Worker} from 'node:worker_threads';
import type {Arrival, Sample} from './arrival.js';
import type {LoadResult, LoadWorkerData} from './load-worker.js';

/** Options of {@link runLoad}. */
export type LoadOptions = {
	/** In order of time. */
	readonly arrivals: readonly Arrival[];
	/** `ip:port` of the entry hosts, by the index in the arrivals. */
	readonly addresses: readonly string[];
	/** Worker threads; each one sends every n-th arrival. */
	readonly workers: number;
	/** Time for the workers to start, in milliseconds. */
	readonly leadMilliseconds: number;
	/** Called when the run starts, for faults at planned times. */
	readonly onStart: () => void;
};

/** Defaults of {@link LoadOptions}. */
export const defaultLoadOptions = {
	workers: 3,
	leadMilliseconds: 500,
	onStart() {/* Most runs have no faults. */},
};

/**
 * Sends planned arrivals at their times, whether earlier ones have been answered or not.
 *
 * @param options - Arrivals and where they go.
 * @returns One sample for each arrival, in the same order.
 */
export async function runLoad(options: Partial<LoadOptions> & Pick<LoadOptions, 'arrivals' | 'addresses'>): Promise<Sample[]> {
	const {arrivals, addresses, workers, leadMilliseconds, onStart} = {...defaultLoadOptions, ...options};
	const startAt = performance.timeOrigin + performance.now() + leadMilliseconds;
	const timer = setTimeout(onStart, leadMilliseconds);
	try {
		const parts = await Promise.all(Array.from({length: workers}, async (_, worker) => runWorker({
			arrivals: arrivals.filter((_arrival, index) => index % workers === worker), addresses, startAt,
		})));
		return arrivals.map((arrival, index) => {
			const [latency, lateness, status, code] = parts[index % workers]![Math.floor(index / workers)]!;
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
