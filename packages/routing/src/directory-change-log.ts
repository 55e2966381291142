/** Ids that have changed after a position of the log. */
export type LoggedChanges = {
	/** Whether the log no longer reaches back to the position, so that everything may have changed. */
	readonly isFull: boolean;
	readonly changed: readonly string[];
	readonly removed: readonly string[];
};

/** Removals that are remembered; who asks from before them is told everything. */
const rememberedRemovals = 1000;

/** Remembers which entries of a directory changed in which order, so that others can be told of changes only. */
export class DirectoryChangeLog {
	readonly #changed = new Map<string, number>();
	readonly #removed = new Map<string, number>();
	#cursor = 0;
	/** Position from which on all removals are remembered. */
	#reachesTo = 0;

	/** Position after the last change. */
	get cursor(): number {
		return this.#cursor;
	}

	/**
	 * Notes that an entry was added or has changed.
	 *
	 * @param id - The entry.
	 */
	recordChange(id: string): void {
		this.#removed.delete(id);
		// The map is kept in the order of the changes.
		this.#changed.delete(id);
		this.#cursor += 1;
		this.#changed.set(id, this.#cursor);
	}

	/**
	 * Notes that an entry was removed.
	 *
	 * @param id - The entry.
	 */
	recordRemoval(id: string): void {
		this.#changed.delete(id);
		this.#cursor += 1;
		this.#removed.set(id, this.#cursor);
		const [oldest] = this.#removed;
		if (this.#removed.size > rememberedRemovals && oldest) {
			this.#removed.delete(oldest[0]);
			this.#reachesTo = oldest[1];
		}
	}

	/**
	 * Lists what has changed.
	 *
	 * @param after - Position up to which the reader knows the directory.
	 * @returns The changes; all entries when the log does not reach back so far.
	 */
	listChanges(after: number): LoggedChanges {
		const isFull = after < this.#reachesTo || after <= 0;
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
