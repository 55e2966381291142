import {soakBounds} from './soak-bounds.js';

type Disturbance = {readonly from: number; until: number};

/** The times in which one party was disturbed by faults. */
export class DisturbanceLog {
	readonly #disturbances: Disturbance[] = [];

	/**
	 * Notes that a fault begins.
	 *
	 * @returns Notes its end.
	 */
	start(): () => void {
		const disturbance: Disturbance = {from: performance.now(), until: Infinity};
		this.#disturbances.push(disturbance);
		return () => {
			disturbance.until = performance.now();
		};
	}

	/**
	 * Tells whether there was no fault in a span and for some time before it.
	 *
	 * @param from - Monotonic time in milliseconds.
	 * @param until - Monotonic time in milliseconds.
	 * @returns Whether promises with a time bound hold in the span.
	 */
	isCalm(from: number, until: number): boolean {
		return this.#disturbances.every(disturbance => disturbance.from > until || disturbance.until + soakBounds.contactMilliseconds < from);
	}
}
