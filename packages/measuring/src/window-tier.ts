import {
	createClassWindow, decodeClassWindow, encodeClassWindow, type ClassWindow, type StoredWindow,
} from './class-window.js';

/** Tiers of windows, each with its own window length and retention time. */
export const windowTiers = {
	/** For latencies and peaks of the last ten minutes, and for the shortest burn rate. */
	fine: {lengthMilliseconds: 10_000, retentionMilliseconds: 10 * 60_000, hasHistogram: true},
	/** For burn rates over up to six hours. */
	medium: {lengthMilliseconds: 5 * 60_000, retentionMilliseconds: 365 * 60_000, hasHistogram: true},
	/** For the error budget over many days; counts only, because each host sends its snapshot every 30 s. */
	coarse: {lengthMilliseconds: 3_600_000, retentionMilliseconds: 32 * 86_400_000, hasHistogram: false},
} as const;

/** Name of a tier. */
export type WindowTierName = keyof typeof windowTiers;

/** An open window, which still counts requests, or a closed one, which is kept in its stored form only. */
type WindowEntry = {readonly open: ClassWindow} | {readonly closed: StoredWindow};

/**
 * Windows of one tier. A window is encoded once, when it is closed: encoding all windows for each snapshot blocked the
 * event loop for 360 ms.
 */
export class WindowTier {
	readonly #name: WindowTierName;
	readonly #windows = new Map<number, WindowEntry>();

	constructor(name: WindowTierName) {
		this.#name = name;
	}

	/**
	 * Returns the open window at a time, closes windows that are over and drops expired ones.
	 *
	 * @param time - Milliseconds since the epoch.
	 * @returns The window.
	 */
	get(time: number): ClassWindow {
		const {lengthMilliseconds, hasHistogram} = windowTiers[this.#name];
		const start = Math.floor(time / lengthMilliseconds) * lengthMilliseconds;
		const existing = this.#windows.get(start);
		if (existing && 'open' in existing) {
			return existing.open;
		}

		this.#closeAndExpire(time);
		// If the clock is set back, the closed window is reopened.
		const window = existing ? decodeClassWindow(existing.closed) : createClassWindow(hasHistogram);
		this.#windows.set(start, {open: window});
		return window;
	}

	/**
	 * Marks the windows in which long work of the service ran.
	 *
	 * @param from - Start of the long work in milliseconds since the epoch.
	 * @param to - End of the long work in milliseconds since the epoch.
	 */
	markLongWork(from: number, to: number): void {
		const {lengthMilliseconds} = windowTiers[this.#name];
		for (const [start, entry] of this.#windows) {
			if (start <= to && start + lengthMilliseconds > from) {
				('open' in entry ? entry.open : entry.closed).hasLongWork = true;
			}
		}
	}

	/**
	 * Lists the windows within the retention time.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns The windows in their stored form, in order of time.
	 */
	list(now: number): StoredWindow[] {
		this.#closeAndExpire(now);
		return [...this.#windows]
			.sort(([left], [right]) => left - right)
			.map(([start, entry]) => 'open' in entry ? encodeClassWindow(start, entry.open) : entry.closed);
	}

	#closeAndExpire(now: number): void {
		const {lengthMilliseconds, retentionMilliseconds} = windowTiers[this.#name];
		for (const [start, entry] of this.#windows) {
			if (start < now - retentionMilliseconds) {
				this.#windows.delete(start);
			} else if ('open' in entry && start + lengthMilliseconds <= now) {
				this.#windows.set(start, {closed: encodeClassWindow(start, entry.open)});
			}
		}
	}
}
