/** Part of each body that is not counted, in bytes, so that short requests are not refused because of long ones. */
const uncountedBytes = 65_536;

/** Bytes by which the reservation of a body without a declared length grows. */
const reservationStepBytes = 1_048_576;

/** Memory reserved for the body of one request. */
export type BodyReservation = {
	/**
	 * Makes sure that the reservation covers a part of the body.
	 *
	 * @param bytes - Size of the part of the body that is known or has been received, in bytes.
	 * @returns Whether it does; false if the budget does not permit it.
	 */
	extend(bytes: number): boolean;
	/** Returns the memory to the budget; further calls have no effect. */
	release(): void;
};

/**
 * Limits the memory of all request bodies that a process holds. A body is held from its first byte until its request has ended,
 * because it may have to be sent again, so slow endpoints would otherwise let bodies pile up.
 */
export class BodyBudget {
	readonly #getLimitBytes: () => number;
	#reservedBytes = 0;

	/**
	 * @param getLimitBytes - Returns the memory that all bodies may take, in bytes.
	 */
	constructor(getLimitBytes: () => number) {
		this.#getLimitBytes = getLimitBytes;
	}

	/** Memory that is reserved, in bytes. */
	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	/**
	 * Opens the reservation of one body, which is empty at first.
	 *
	 * @returns The reservation; whoever opened it releases it.
	 */
	openReservation(): BodyReservation {
		let reserved = 0;
		return {
			extend: bytes => {
				const needed = bytes - uncountedBytes;
				if (needed <= reserved) {
					return true;
				}

				const step = this.#reserve(needed - reserved, reserved > 0 ? reservationStepBytes : 0);
				reserved += step;
				return step > 0;
			},
			release: () => {
				this.#reservedBytes -= reserved;
				reserved = 0;
			},
		};
	}

	/** Reserves at least some bytes, or a whole step if there is room, and returns how many; 0 if there is no room. */
	#reserve(bytes: number, stepBytes: number): number {
		const free = this.#getLimitBytes() - this.#reservedBytes;
		// A body larger than the whole budget is accepted while no other one is held.
		if (bytes > free && this.#reservedBytes > 0) {
			return 0;
		}

		const reserved = Math.max(bytes, Math.min(stepBytes, free));
		this.#reservedBytes += reserved;
		return reserved;
	}
}
