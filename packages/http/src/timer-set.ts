/** Timers that are cleared together. */
export class TimerSet {
	readonly #timers = new Set<NodeJS.Timeout>();

	/**
	 * Schedules a callback.
	 *
	 * @param milliseconds - Time until it is called; a negative time counts as none.
	 * @param callback - The callback.
	 */
	schedule(milliseconds: number, callback: () => void): void {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			callback();
		}, Math.max(0, milliseconds));
		this.#timers.add(timer);
	}

	/** Clears all timers. */
	cancel(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		this.#timers.clear();
	}
}
