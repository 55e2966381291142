/** A promise with a method that resolves it. */
export class Deferred<T> {
	readonly promise: Promise<T>;
	#resolve!: (value: T) => void;

	constructor() {
		this.promise = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/**
	 * Resolves the promise; further calls have no effect.
	 *
	 * @param value - The value to resolve with.
	 */
	resolve(value: T): void {
		this.#resolve(value);
	}
}
