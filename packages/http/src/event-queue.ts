import {Deferred} from './deferred.js';

/** Events that one task takes one at a time, in order. */
export class EventQueue<T> {
	readonly #events: T[] = [];
	#signal = new Deferred<void>();

	/**
	 * Adds an event.
	 *
	 * @param event - The event.
	 */
	push(event: T): void {
		this.#events.push(event);
		this.#signal.resolve();
	}

	/**
	 * Takes the oldest event and waits for one if there is none. Only one caller may wait at a time.
	 *
	 * @returns The event.
	 */
	async take(): Promise<T> {
		while (this.#events.length === 0) {
			this.#signal = new Deferred();
			await this.#signal.promise;
		}

		return this.#events.shift()!;
	}
}
