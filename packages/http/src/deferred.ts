/** A promise that is resolved from outside. */
export class Deferred<T> {
	readonly promise: Promise<T>;
	#resolve!: (value: T) => void;

	constructor() {
		this.promise = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/**
	 * Resolves the promise; only the first call counts.
	 *
	 * @param value - Its value.
	 */
	resolve(value: T): void {
		this.#resolve(value);
	}
}
