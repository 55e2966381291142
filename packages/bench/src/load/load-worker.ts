import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {parentPort, workerData} from 'node:worker_threads';
import {Agent} from 'undici';
import type {Arrival} from './arrival.js';

/** Input of a worker thread. */
export type LoadWorkerData = {
	readonly arrivals: readonly Arrival[];
	/** `ip:port` of the entry hosts. */
	readonly addresses: readonly string[];
	/** Start of the run in milliseconds since the epoch. */
	readonly startAt: number;
};

/** Result of one arrival: latency, lateness, status, code. */
export type LoadResult = readonly [number, number, number, number];

const timeoutMilliseconds = 5000;
const agent = new Agent({
	connections: 512, pipelining: 1, headersTimeout: timeoutMilliseconds, bodyTimeout: timeoutMilliseconds,
});
const {arrivals, addresses, startAt} = workerData as LoadWorkerData;
const startTime = startAt - performance.timeOrigin;

async function sendArrival(arrival: Arrival): Promise<LoadResult> {
	const intendedStart = startTime + arrival.at;
	const lateness = performance.now() - intendedStart;
	try {
		const {statusCode, body} = await agent.request({
			origin: `http://${addresses[arrival.host]}`, method: arrival.method, path: arrival.target, headers: arrival.headers,
		});
		const code = statusCode < 400 ? 0 : await readCode(body);
		if (statusCode < 400) {
			await body.dump({limit: Infinity});
		}

		return [performance.now() - intendedStart, lateness, statusCode, code];
	} catch {
		return [performance.now() - intendedStart, lateness, 0, 0];
	}
}

async function readCode(body: {text(): Promise<string>}): Promise<number> {
	try {
		const {code} = JSON.parse(await body.text()) as {code?: number};
		return code ?? 0;
	} catch {
		return 0;
	}
}

async function runWorker(): Promise<LoadResult[]> {
	const pending: Array<Promise<LoadResult>> = [];
	for (const arrival of arrivals) {
		const delay = startTime + arrival.at - performance.now();
		if (delay > 0) {
			await waitMilliseconds(delay);
		}

		pending.push(sendArrival(arrival));
	}

	return Promise.all(pending);
}

const results = await runWorker();
parentPort!.postMessage(results);
await agent.destroy();
