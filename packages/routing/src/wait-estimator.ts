import {WorkKind, type ServiceConfiguration, type WorkClass} from '@tanagerrail/configuration';

/** Weight of a new observation in the average time for which a slot is held. */
const holdTimeWeight = 0.05;

/** Slots and queue as they are now. */
export type QueueState = {
	/** Waiting requests that would be served before. */
	readonly ahead: number;
	/** Slots that serve this kind of work. */
	readonly slots: number;
	/** Whether a slot is free and nobody waits for it. */
	readonly isFree: boolean;
};

/** Estimates waits from the time for which short work has held its slots lately. */
export class WaitEstimator {
	#shortHoldTime: number;

	constructor(service: ServiceConfiguration) {
		const usual = service.workClasses.filter(({kind}) => kind === WorkKind.short).map(({usualMilliseconds}) => usualMilliseconds);
		this.#shortHoldTime = usual.length > 0 ? Math.min(...usual) : 1;
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
	compute(workClass: WorkClass, {ahead, slots, isFree}: QueueState): number {
		if (isFree) {
			return 0;
		}

		// Few long requests end in any short time, so their declared duration says more than an average of the last ones.
		const holdTime = workClass.kind === WorkKind.long ? workClass.usualMilliseconds : this.#shortHoldTime;
		return (ahead + 1) * holdTime / Math.max(1, slots);
	}
}
