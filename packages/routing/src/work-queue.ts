import {priorityRanks, type WorkClass} from '@tanagerrail/configuration';

/** A request that waits for a slot. */
export type Waiter = {
	readonly workClass: WorkClass;
	/** Monotonic time by which the response must be complete, in milliseconds. */
	readonly deadline: number;
};

/** Waiting requests of one work kind, ordered by priority, then by deadline, then by arrival. */
export class WorkQueue<T extends Waiter> {
	readonly #waiters: T[] = [];

	get length(): number {
		return this.#waiters.length;
	}

	/**
	 * Inserts a waiter by priority, deadline and arrival.
	 *
	 * @param waiter - The request to add.
	 */
	enqueue(waiter: T): void {
		this.#waiters.splice(this.countAhead(waiter), 0, waiter);
	}

	/**
	 * Counts the waiters that would be served before a new one.
	 *
	 * @param waiter - The request; it need not be in the queue.
	 * @returns Number of waiters ahead.
	 */
	countAhead(waiter: Waiter): number {
		let low = 0;
		let high = this.#waiters.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareWaiters(this.#waiters[middle]!, waiter) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	/**
	 * Removes and returns the first eligible waiter.
	 *
	 * @param isEligible - Whether a waiter may be taken; by default all may.
	 * @returns The waiter, or nothing.
	 */
	take(isEligible: (waiter: T) => boolean = () => true): T | undefined {
		const index = this.#waiters.findIndex(waiter => isEligible(waiter));
		return index === -1 ? undefined : this.#waiters.splice(index, 1)[0];
	}

	/**
	 * Removes a waiter from any position.
	 *
	 * @param waiter - The request to remove.
	 * @returns Whether it was in the queue.
	 */
	remove(waiter: T): boolean {
		const index = this.#waiters.indexOf(waiter);
		if (index === -1) {
			return false;
		}

		this.#waiters.splice(index, 1);
		return true;
	}

	/**
	 * Removes all waiters that match a predicate.
	 *
	 * @param isMatch - The predicate.
	 * @returns The removed waiters.
	 */
	drop(isMatch: (waiter: T) => boolean): T[] {
		const dropped = this.#waiters.filter(waiter => isMatch(waiter));
		for (const waiter of dropped) {
			this.remove(waiter);
		}

		return dropped;
	}
}

function compareWaiters(left: Waiter, right: Waiter): number {
	return priorityRanks[left.workClass.priority] - priorityRanks[right.workClass.priority] || left.deadline - right.deadline;
}
