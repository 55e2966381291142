import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link PauseDetector}. */
export type PauseDetectorOptions = {
	readonly clock: Clock;
	/** Called after a pause, before the process does anything else that asks {@link PauseDetector.check}. */
	readonly onPause: (milliseconds: number) => void;
	readonly tickMilliseconds: number;
	/** Gap between two ticks that counts as a pause, in milliseconds. */
	readonly pauseMilliseconds: number;
};

/** Defaults of {@link PauseDetectorOptions}; the pause is as long as the silence after which peers give this host up. */
export const defaultPauseDetectorOptions = {tickMilliseconds: 50, pauseMilliseconds: 500};

/** Notices that the process did not run for a while, for example because its machine was frozen. */
export class PauseDetector {
	readonly #options: PauseDetectorOptions;
	#lastTick: number;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: Partial<PauseDetectorOptions> & Pick<PauseDetectorOptions, 'clock' | 'onPause'>) {
		this.#options = {...defaultPauseDetectorOptions, ...options};
		this.#lastTick = options.clock();
	}

	/** Starts the timer. */
	start(): void {
		this.#lastTick = this.#options.clock();
		this.#timer = setInterval(() => {
			this.check();
		}, this.#options.tickMilliseconds);
	}

	/** Stops the timer. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Looks at the clock now; decisions that rest on leases call it first, since a timer may fire after them. */
	check(): void {
		const now = this.#options.clock();
		const gap = now - this.#lastTick;
		this.#lastTick = now;
		if (gap > this.#options.pauseMilliseconds) {
			this.#options.onPause(gap);
		}
	}
}
