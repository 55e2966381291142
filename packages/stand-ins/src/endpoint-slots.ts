/** The slots of a stand-in endpoint and the requests that wait for one, in order of arrival. */
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
	 * Changes the number of slots; running work goes on.
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
	 * Waits for a slot.
	 *
	 * @param signal - Ends the wait.
	 * @returns Whether a slot was taken.
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

	/** Gives a slot back. */
	release(): void {
		if (this.#inUse <= this.#slots && this.#waiting.length > 0) {
			this.#waiting.shift()!(true);
			return;
		}

		this.#inUse -= 1;
	}
}
