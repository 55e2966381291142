import type {ServerResponse} from 'node:http';
import {routedBehaviours, type RoutedEndpointRequest, type StandInRoutedEndpoint} from './stand-in-routed-endpoint.js';

/** Options of {@link VariableSpeedWork}. */
export type VariableSpeedWorkOptions = {
	readonly endpoint: StandInRoutedEndpoint;
	/** Maximum number of requests processed at the same time. */
	readonly slots: number;
	/** Maximum number of requests that wait for a slot; further ones are refused as not run. */
	readonly queueLength: number;
	/** Processing time at normal speed, in milliseconds. */
	readonly workMilliseconds: number;
	/** Interval between two changes of speed, in milliseconds. */
	readonly speedChangeMilliseconds: number;
	/** Range of speeds: processing takes between 1 / `spread` and `spread` times as long as at normal speed. */
	readonly spread: number;
	/** Share of slots in use, from 0 to 1, above which processing slows down. */
	readonly kneeShare: number;
	/**
	 * Factor by which the processing time is multiplied when all slots are in use. It is interpolated linearly between 1 at
	 * `kneeShare` and this value.
	 */
	readonly kneeFactor: number;
	/** Time after the start during which the endpoint is cold, in milliseconds. */
	readonly coldMilliseconds: number;
	/** Factor by which the processing time is multiplied on a cold endpoint. */
	readonly coldFactor: number;
	/** Returns a random number in [0, 1). */
	readonly draw: () => number;
};

/** Defaults of {@link VariableSpeedWorkOptions}. */
export const defaultVariableSpeedWorkOptions = {
	slots: 3, queueLength: 4, workMilliseconds: 60, speedChangeMilliseconds: 300, spread: 2.5, kneeShare: 0.7, kneeFactor: 1.8, coldMilliseconds: 0, coldFactor: 3,
	draw: Math.random,
};

/**
 * Simulates the processing of requests at an endpoint whose speed changes several times a second. It slows down when
 * nearly all slots are in use and refuses requests when its queue is full.
 */
export class VariableSpeedWork {
	/** Number of requests refused because the queue was full. */
	shed = 0;
	readonly #options: VariableSpeedWorkOptions;
	readonly #startedAt = performance.now();
	readonly #waiting: Array<() => void> = [];
	readonly #timer: NodeJS.Timeout;
	#processingCount = 0;
	#slowness = 1;

	constructor(options: Partial<VariableSpeedWorkOptions> & Pick<VariableSpeedWorkOptions, 'endpoint'>) {
		this.#options = {...defaultVariableSpeedWorkOptions, ...options};
		const {endpoint, speedChangeMilliseconds} = this.#options;
		endpoint.behaviour = (request, res) => {
			this.#receive(request, res);
		};

		this.#drawSpeed();
		this.#timer = setInterval(() => {
			this.#drawSpeed();
		}, speedChangeMilliseconds);
	}

	/** Stops the changes of speed. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Draws a new speed from a log-uniform distribution. */
	#drawSpeed(): void {
		const {endpoint, spread, draw} = this.#options;
		this.#slowness = spread ** ((2 * draw()) - 1);
		endpoint.slownessPercent = Math.round(100 * this.#slowness);
	}

	#receive(request: RoutedEndpointRequest, res: ServerResponse): void {
		const {slots, queueLength} = this.#options;
		const start = () => {
			this.#start(request, res);
		};

		if (this.#processingCount < slots) {
			start();
			return;
		}

		if (this.#waiting.length >= queueLength) {
			this.shed += 1;
			routedBehaviours.shed(request, res);
			return;
		}

		this.#waiting.push(start);
	}

	#start(request: RoutedEndpointRequest, res: ServerResponse): void {
		this.#processingCount += 1;
		setTimeout(() => {
			this.#processingCount -= 1;
			this.#waiting.shift()?.();
			if (!res.destroyed) {
				routedBehaviours.serve(request, res);
			}
		}, this.#computeDuration());
	}

	#computeDuration(): number {
		const {slots, workMilliseconds, kneeShare, kneeFactor, coldMilliseconds, coldFactor} = this.#options;
		const kneeExcess = Math.max(0, (this.#processingCount / slots) - kneeShare) / (1 - kneeShare);
		const isCold = performance.now() - this.#startedAt < coldMilliseconds;
		return workMilliseconds * this.#slowness * (1 + (kneeExcess * (kneeFactor - 1))) * (isCold ? coldFactor : 1);
	}
}
