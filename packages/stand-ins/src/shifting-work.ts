import type {ServerResponse} from 'node:http';
import {routedBehaviours, type RoutedEndpointRun, type StandInRoutedEndpoint} from './stand-in-routed-endpoint.js';

/** Traits of {@link ShiftingWork}. */
export type ShiftingWorkOptions = {
	readonly endpoint: StandInRoutedEndpoint;
	/** Requests that are processed at once. */
	readonly slots: number;
	/** Requests that may wait for a slot; further ones are refused as not run. */
	readonly queueLength: number;
	/** Duration of the work at the usual speed, in milliseconds. */
	readonly workMilliseconds: number;
	/** Time between two changes of speed, in milliseconds. */
	readonly shiftMilliseconds: number;
	/** The slowest work takes this many times as long as usual, and the fastest one this part of it. */
	readonly spread: number;
	/** Share of the slots in use above which work slows down. */
	readonly kneeShare: number;
	/** How many times longer work takes when all slots are in use. */
	readonly kneeFactor: number;
	/** Time after the start in which the endpoint is cold, in milliseconds. */
	readonly coldMilliseconds: number;
	/** How many times longer work takes on a cold endpoint. */
	readonly coldFactor: number;
	/** Returns a random number from 0 to below 1. */
	readonly draw: () => number;
};

/** Defaults of {@link ShiftingWorkOptions}. */
export const defaultShiftingWorkOptions = {
	slots: 3, queueLength: 4, workMilliseconds: 60, shiftMilliseconds: 300, spread: 2.5, kneeShare: 0.7, kneeFactor: 1.8, coldMilliseconds: 0, coldFactor: 3,
	draw: Math.random,
};

/** Work of an endpoint whose speed changes many times a second, which slows down when it is nearly full and sheds when it is. */
export class ShiftingWork {
	/** Requests refused because the queue was full. */
	shed = 0;
	readonly #options: ShiftingWorkOptions;
	readonly #startedAt = performance.now();
	readonly #waiting: Array<() => void> = [];
	readonly #timer: NodeJS.Timeout;
	#processing = 0;
	#slowness = 1;

	constructor(options: Partial<ShiftingWorkOptions> & Pick<ShiftingWorkOptions, 'endpoint'>) {
		this.#options = {...defaultShiftingWorkOptions, ...options};
		const {endpoint, shiftMilliseconds} = this.#options;
		endpoint.behaviour = (run, res) => {
			this.#receive(run, res);
		};

		this.#shift();
		this.#timer = setInterval(() => {
			this.#shift();
		}, shiftMilliseconds);
	}

	/** Stops the changes of speed. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Draws a speed; its logarithm is uniform. */
	#shift(): void {
		const {endpoint, spread, draw} = this.#options;
		this.#slowness = spread ** ((2 * draw()) - 1);
		endpoint.pace = Math.round(100 * this.#slowness);
	}

	#receive(run: RoutedEndpointRun, res: ServerResponse): void {
		const {slots, queueLength} = this.#options;
		const start = () => {
			this.#start(run, res);
		};

		if (this.#processing < slots) {
			start();
			return;
		}

		if (this.#waiting.length >= queueLength) {
			this.shed += 1;
			routedBehaviours.shed(run, res);
			return;
		}

		this.#waiting.push(start);
	}

	#start(run: RoutedEndpointRun, res: ServerResponse): void {
		this.#processing += 1;
		setTimeout(() => {
			this.#processing -= 1;
			this.#waiting.shift()?.();
			if (!res.destroyed) {
				routedBehaviours.serve(run, res);
			}
		}, this.#computeDuration());
	}

	#computeDuration(): number {
		const {slots, workMilliseconds, kneeShare, kneeFactor, coldMilliseconds, coldFactor} = this.#options;
		const overKnee = Math.max(0, (this.#processing / slots) - kneeShare) / (1 - kneeShare);
		const isCold = performance.now() - this.#startedAt < coldMilliseconds;
		return workMilliseconds * this.#slowness * (1 + (overKnee * (kneeFactor - 1))) * (isCold ? coldFactor : 1);
	}
}
