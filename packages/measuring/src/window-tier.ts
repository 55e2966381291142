import {
	createClassWindow, decodeClassWindow, encodeClassWindow, type ClassWindow, type StoredWindow,
} from './class-window.js';

/** Lengths of the windows and how long they are kept, in milliseconds. */
export const windowTiers = {
	/** Quality measures of the last minutes and the shortest burn window. */
	fine: {length: 10_000, kept: 10 * 60_000, hasHistogram: true},
	/** Burn windows of up to six hours. */
	medium: {length: 5 * 60_000, kept: 365 * 60_000, hasHistogram: true},
	/** Budget left over many days; counts only, because a host's snapshot is sent every 30 s. */
	coarse: {length: 3_600_000, kept: 32 * 86_400_000, hasHistogram: false},
} as const;

/** Name of a tier. */
export type WindowTierName = keyof typeof windowTiers;

/** A window that still counts, or one that is over and only kept in its stored form. */
type Entry = {readonly open: ClassWindow} | {readonly closed: StoredWindow};

/**
 * Windows of one length, the old ones dropped. A window is encoded once when it is over: encoding all windows for each
 * snapshot blocked the event loop for 360 ms.
 */
export class WindowTier {
	readonly #name: WindowTierName;
	readonly #windows = new Map<number, Entry>();

	constructor(name: WindowTierName) {
		this.#name = name;
	}

	/**
	 * Gets the window of a point in time and drops those that are no longer kept.
	 *
	 * @param time - Milliseconds since the epoch.
	 * @returns The window.
	 */
	get(time: number): ClassWindow {
		const {length, hasHistogram} = windowTiers[this.#name];
		const start = Math.floor(time / length) * length;
		const known = this.#windows.get(start);
		if (known && 'open' in known) {
			return known.open;
		}

		this.#closeOld(time);
		// A clock that is set back reopens a window.
		const window = known ? decodeClassWindow(known.closed) : createClassWindow(hasHistogram);
		this.#windows.set(start, {open: window});
		return window;
	}

	/**
	 * Marks the windows during which long work of the service ran.
	 *
	 * @param from - Start of the long work in milliseconds since the epoch.
	 * @param to - Its end.
	 */
	markLongWork(from: number, to: number): void {
		const {length} = windowTiers[this.#name];
		for (const [start, entry] of this.#windows) {
			if (start <= to && start + length > from) {
				('open' in entry ? entry.open : entry.closed).hasLongWork = true;
			}
		}
	}

	/**
	 * Lists the windows that are still kept.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns The windows in their stored form, in order of time.
	 */
	list(now: number): StoredWindow[] {
		this.#closeOld(now);
		return [...this.#windows]
			.sort(([left], [right]) => left - right)
			.map(([start, entry]) => 'open' in entry ? encodeClassWindow(start, entry.open) : entry.closed);
	}

	#closeOld(now: number): void {
		const {length, kept} = windowTiers[this.#name];
		for (const [start, entry] of this.#windows) {
			if (start < now - kept) {
				this.#windows.delete(start);
			} else if ('open' in entry && start + length <= now) {
				this.#windows.set(start, {closed: encodeClassWindow(start, entry.open)});
			}
		}
	}
}
