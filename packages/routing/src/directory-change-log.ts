/** Ids of the entries that changed after a position of the log. */
export type LoggedChanges = {
	/** Whether all entries are listed because the log does not go back to the position. */
	readonly isFull: boolean;
	readonly changed: readonly string[];
	readonly removed: readonly string[];
};

/** Number of removals that are kept; a reader at a position before the oldest of them gets all entries. */
const maximumRemovals = 1000;

/** Records the order in which the entries of a directory changed, so that other hosts receive only the changes. */
export class DirectoryChangeLog {
	readonly #changed = new Map<string, number>();
	readonly #removed = new Map<string, number>();
	#cursor = 0;
	/** Position after which all removals are kept. */
	#completeFrom = 0;

	/** Position after the last change. */
	get cursor(): number {
		return this.#cursor;
	}

	/**
	 * Records that an entry was added or has changed.
	 *
	 * @param id - Id of the entry.
	 */
	recordChange(id: string): void {
		this.#removed.delete(id);
		// Deleted first so that the map stays in the order of the changes.
		this.#changed.delete(id);
		this.#cursor += 1;
		this.#changed.set(id, this.#cursor);
	}

	/**
	 * Records that an entry was removed.
	 *
	 * @param id - Id of the entry.
	 */
	recordRemoval(id: string): void {
		this.#changed.delete(id);
		this.#cursor += 1;
		this.#removed.set(id, this.#cursor);
		const [oldest] = this.#removed;
		if (this.#removed.size > maximumRemovals && oldest) {
			this.#removed.delete(oldest[0]);
			this.#completeFrom = oldest[1];
		}
	}

	/**
	 * Lists the changes after a position.
	 *
	 * @param after - Position up to which the reader has the directory.
	 * @returns The changes; all entries when the log does not go back to the position.
	 */
	listChanges(after: number): LoggedChanges {
		const isFull = after < this.#completeFrom || after <= 0;
		const start = isFull ? 0 : after;
		return {
			isFull,
			changed: listAfter(this.#changed, start),
			removed: isFull ? [] : listAfter(this.#removed, start),
		};
	}
}

function listAfter(positions: ReadonlyMap<string, number>, start: number): string[] {
	return [...positions].filter(([, position]) => position > start).map(([id]) => id);
}
