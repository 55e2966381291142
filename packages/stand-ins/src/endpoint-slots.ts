/** The slots of a stand-in endpoint and a first-in, first-out queue of the requests that wait for one. */
export class EndpointSlots {
	readonly #waiting: Array<(isTaken: boolean) => void> = [];
	#slots: number;
	#inUse = 0;

	constructor(slots: number) {
		this.#slots = slots;
	}

	get inUse(): number {
		return this.#inUse;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	/**
	 * Changes the number of slots; requests in progress are not interrupted.
	 *
	 * @param slots - The new number.
	 */
	update(slots: number): void {
		this.#slots = slots;
		while (this.#inUse < this.#slots && this.#waiting.length > 0) {
			this.#inUse += 1;
			this.#waiting.shift()!(true);
		}
	}

	/**
	 * Acquires a slot, waiting until one is free.
	 *
	 * @param signal - Cancels the wait.
	 * @returns Whether a slot was acquired.
	 */
	async take(signal: AbortSignal): Promise<boolean> {
		if (signal.aborted) {
			return false;
		}

		if (this.#inUse < this.#slots) {
			this.#inUse += 1;
			return true;
		}

		return new Promise(resolve => {
			this.#waiting.push(resolve);
			signal.addEventListener('abort', () => {
				const index = this.#waiting.indexOf(resolve);
				if (index !== -1) {
					this.#waiting.splice(index, 1);
					resolve(false);
				}
			}, {once: true});
		});
	}

	/** Releases a slot to the next waiting request, if any. */
	release(): void {
		if (this.#inUse <= this.#slots && this.#waiting.length > 0) {
			this.#waiting.shift()!(true);
			return;
		}

		this.#inUse -= 1;
	}
}
