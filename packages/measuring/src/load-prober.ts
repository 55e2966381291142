import {once} from 'node:events';
import {Agent, request, type IncomingMessage} from 'node:http';
import type {MeasuringBudget} from '@tanagerrail/configuration';
import type {Clock} from '@tanagerrail/telemetry';
import {parseLoadReport, type LoadReport} from './load-report.js';
import {MeasuringMeter, type MeasuringCost} from './measuring-meter.js';
import {TokenBucket, type TokenReservation} from './token-bucket.js';

/** An endpoint whose load report is fetched. */
export type ProbeTarget = {
	readonly endpointId: string;
	/** `ip:port`. */
	readonly address: string;
};

/** Chooses the endpoint to probe next and receives its load report. */
export type ProbeTargets = {
	/** Chooses the endpoint whose report is the most useful now; returns `undefined` if no probe is needed. */
	choose(): ProbeTarget | undefined;
	/** Receives the report, or `undefined` if the endpoint did not answer in time or answered without a report. */
	receive(target: ProbeTarget, report: LoadReport | undefined): void;
};

/** Options of {@link LoadProber}. */
export type LoadProberOptions = {
	readonly service: string;
	readonly targets: ProbeTargets;
	/** Path of the load report. */
	readonly loadPath: string;
	readonly clock: Clock;
	/** Called with the cost of each second in which probes were sent or received. */
	readonly onCost: (cost: MeasuringCost) => void;
	/** Timeout of one probe, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Bytes reserved for one probe, request and response together; a longer response is cut off. */
	readonly probeBytes: number;
	/** Time between two attempts to send a probe, in milliseconds. */
	readonly intervalMilliseconds: number;
};

/** Defaults of {@link LoadProberOptions}. */
export const defaultLoadProberOptions = {
	onCost: () => undefined, timeoutMilliseconds: 250, probeBytes: 1024, intervalMilliseconds: 20,
};

/** Fetches load reports from the endpoints of one service. Sends a probe only if the measuring budget has tokens for it. */
export class LoadProber {
	readonly #options: LoadProberOptions;
	readonly #meter: MeasuringMeter;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1, maxTotalSockets: 64});
	#budget: MeasuringBudget;
	#probes: TokenBucket;
	#bytes: TokenBucket;
	#timer: NodeJS.Timeout | undefined;

	constructor(budget: MeasuringBudget, options: Partial<LoadProberOptions> & Pick<LoadProberOptions, 'service' | 'targets' | 'loadPath' | 'clock'>) {
		this.#options = {...defaultLoadProberOptions, ...options};
		this.#budget = budget;
		const {clock, service, onCost} = this.#options;
		this.#probes = new TokenBucket({capacity: budget.probesPerSecond, clock});
		this.#bytes = new TokenBucket({capacity: budget.bytesPerSecond, clock});
		this.#meter = new MeasuringMeter({
			service, clock, budget, onSecond: onCost,
		});
	}

	/**
	 * Changes the budget. The new buckets start empty and are full after one second, because probes sent in the last
	 * second still count.
	 *
	 * @param budget - The budget of the configuration in force.
	 */
	update(budget: MeasuringBudget): void {
		const {probesPerSecond, bytesPerSecond} = this.#budget;
		if (budget.probesPerSecond === probesPerSecond && budget.bytesPerSecond === bytesPerSecond) {
			return;
		}

		const {clock} = this.#options;
		this.#budget = budget;
		this.#meter.setBudget(budget);
		this.#probes = new TokenBucket({capacity: budget.probesPerSecond, clock});
		this.#bytes = new TokenBucket({capacity: budget.bytesPerSecond, clock});
		this.#probes.tryTake(budget.probesPerSecond);
		this.#bytes.tryTake(budget.bytesPerSecond);
	}

	/** Starts probing. */
	start(): void {
		this.#timer ??= setInterval(() => {
			this.#meter.finishSecond();
			void this.probe();
		}, this.#options.intervalMilliseconds).unref();
	}

	/** Stops probing and closes the connections. */
	stop(): void {
		clearInterval(this.#timer);
		this.#meter.finishSecond();
		this.#timer = undefined;
		this.#agent.destroy();
	}

	/**
	 * Probes the next target if the budget allows it.
	 *
	 * @returns Whether a probe was sent.
	 */
	async probe(): Promise<boolean> {
		const {targets, probeBytes} = this.#options;
		if (this.#probes.available < 1 || this.#bytes.available < probeBytes) {
			return false;
		}

		const target = targets.choose();
		const reservation = target && this.#bytes.tryReserve(probeBytes);
		if (!target || !reservation) {
			return false;
		}

		this.#probes.tryTake();
		targets.receive(target, await this.#fetch(target, reservation));
		return true;
	}

	async #fetch(target: ProbeTarget, reservation: TokenReservation): Promise<LoadReport | undefined> {
		const {loadPath, timeoutMilliseconds, probeBytes, clock} = this.#options;
		const startedAt = clock();
		let countBytes = () => 0;
		const req = request(`http://${target.address}${loadPath}`, {agent: this.#agent, signal: AbortSignal.timeout(timeoutMilliseconds)});
		req.once('socket', socket => {
			const before = socket.bytesRead + socket.bytesWritten;
			countBytes = () => socket.bytesRead + socket.bytesWritten - before;
		});
		req.end();
		this.#meter.add({messages: 1, processorMilliseconds: clock() - startedAt});
		let report: LoadReport | undefined;
		try {
			const [res] = await once(req, 'response') as [IncomingMessage];
			const parsed = this.#measure(() => parseLoadReport(res.headers));
			for await (const chunk of res as AsyncIterable<Uint8Array>) {
				if (chunk.length > 0 && countBytes() > probeBytes) {
					break;
				}
			}

			report = res.complete ? parsed : undefined;
		} catch {
			// A probe without a complete response gives no load; the allocator detects failures when slots are released.
		}

		const bytes = countBytes();
		reservation.settle(bytes);
		this.#meter.add({bytes});
		return report;
	}

	#measure<T>(run: () => T): T {
		const startedAt = this.#options.clock();
		const value = run();
		this.#meter.add({processorMilliseconds: this.#options.clock() - startedAt});
		return value;
	}
}
