import {soakBounds} from './soak-bounds.js';

type Disturbance = {readonly from: number; until: number};

/** Records the periods in which faults affect a host or the store. */
export class DisturbanceLog {
	readonly #disturbances: Disturbance[] = [];

	/**
	 * Records the start of a fault.
	 *
	 * @returns A function that records its end.
	 */
	start(): () => void {
		const disturbance: Disturbance = {from: performance.now(), until: Infinity};
		this.#disturbances.push(disturbance);
		return () => {
			disturbance.until = performance.now();
		};
	}

	/**
	 * Checks whether there was no fault in a period nor in the recovery time before it.
	 *
	 * @param from - Start of the period, as monotonic time in milliseconds.
	 * @param until - End of the period, as monotonic time in milliseconds.
	 * @returns Whether promises with a time bound apply to the period.
	 */
	isUndisturbed(from: number, until: number): boolean {
		return this.#disturbances.every(disturbance => disturbance.from > until || disturbance.until + soakBounds.contactMilliseconds < from);
	}
}
