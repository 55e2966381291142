import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link PauseDetector}. */
export type PauseDetectorOptions = {
	readonly clock: Clock;
	/** Called with the length of the pause, in milliseconds, before the call of {@link PauseDetector.check} that detected it returns. */
	readonly onPause: (milliseconds: number) => void;
	/** Time between two ticks, in milliseconds. */
	readonly tickMilliseconds: number;
	/** Gap between two ticks that counts as a pause, in milliseconds. */
	readonly pauseThresholdMilliseconds: number;
};

/** Defaults of {@link PauseDetectorOptions}; the threshold equals the time without messages after which peers treat this host as lost. */
export const defaultPauseDetectorOptions = {tickMilliseconds: 50, pauseThresholdMilliseconds: 500};

/** Detects that the process did not run for a while, for example because its machine was suspended. */
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

	/** Checks for a pause now. Decisions that depend on leases call it first, because after a pause they may run before the timer fires. */
	check(): void {
		const now = this.#options.clock();
		const gap = now - this.#lastTick;
		this.#lastTick = now;
		if (gap > this.#options.pauseThresholdMilliseconds) {
			this.#options.onPause(gap);
		}
	}
}
