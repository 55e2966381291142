import {WorkKind, type ServiceConfiguration, type WorkClass} from '@tanagerrail/configuration';

/** Weight of a new observation in the average time for which a slot is held. */
const holdTimeWeight = 0.05;

/** Current state of the slots and the queue. */
export type SlotAvailability = {
	/** Number of waiting requests that would be served first. */
	readonly ahead: number;
	/** Number of slots that serve this kind of work. */
	readonly slots: number;
	/** Whether a slot is free and no request waits for it. */
	readonly isFree: boolean;
};

/** Estimates waits from the moving average of the time for which short work holds its slots. */
export class WaitEstimator {
	/** Moving average of the time for which short work holds a slot, in milliseconds. */
	#shortHoldTime: number;

	constructor(service: ServiceConfiguration) {
		const usualDurations = service.workClasses.filter(({kind}) => kind === WorkKind.short).map(({usualMilliseconds}) => usualMilliseconds);
		this.#shortHoldTime = usualDurations.length > 0 ? Math.min(...usualDurations) : 1;
	}

	/**
	 * Records how long a slot was held.
	 *
	 * @param workClass - Work class of the request.
	 * @param milliseconds - Time between grant and release.
	 */
	record(workClass: WorkClass, milliseconds: number): void {
		if (workClass.kind === WorkKind.short) {
			this.#shortHoldTime += holdTimeWeight * (milliseconds - this.#shortHoldTime);
		}
	}

	/**
	 * Computes how long a request would wait.
	 *
	 * @param workClass - Work class of the request.
	 * @param state - Slots and queue.
	 * @returns Expected wait in milliseconds: work ahead divided by the rate at which slots become free.
	 */
	compute(workClass: WorkClass, {ahead, slots, isFree}: SlotAvailability): number {
		if (isFree) {
			return 0;
		}

		// Long requests end too rarely for a useful moving average, so their configured duration is used.
		const holdTime = workClass.kind === WorkKind.long ? workClass.usualMilliseconds : this.#shortHoldTime;
		return (ahead + 1) * holdTime / Math.max(1, slots);
	}
}
