import {createFailure, type Failure} from '@tanagerrail/results';
import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link Quarantine}. */
export type QuarantineOptions = {
	readonly clock: Clock;
	/** Crashes without a success in between after which a request is no longer run. */
	readonly crashLimit: number;
	/** Milliseconds for which crashes are remembered after the last one. */
	readonly memoryMilliseconds: number;
};

/** Defaults of {@link QuarantineOptions}; a second crash is allowed because the first may have been the endpoint's own. */
export const defaultQuarantineOptions = {crashLimit: 2, memoryMilliseconds: 600_000};

/** Crashes of one fingerprint, as hosts tell them to a new allocator. */
export type CrashRecord = {readonly fingerprint: string; readonly crashes: number};

/** Remembers which requests crashed the endpoints that ran them. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	readonly #crashes = new Map<string, {crashes: number; until: number}>();
	readonly #running = new Set<string>();

	constructor(options: Partial<QuarantineOptions> & Pick<QuarantineOptions, 'clock'>) {
		this.#options = {...defaultQuarantineOptions, ...options};
	}

	/**
	 * Counts the crashes of a request.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Crashes since the last success; 0 when unknown.
	 */
	countCrashes(fingerprint: string): number {
		const entry = this.#crashes.get(fingerprint);
		if (!entry) {
			return 0;
		}

		if (entry.until < this.#options.clock()) {
			this.#crashes.delete(fingerprint);
			return 0;
		}

		return entry.crashes;
	}

	/**
	 * Tells whether a request must not run any more.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Whether it reached the crash limit.
	 */
	has(fingerprint: string): boolean {
		return this.countCrashes(fingerprint) >= this.#options.crashLimit;
	}

	/**
	 * Creates the refusal of a quarantined request.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns The failure `quarantined`.
	 */
	createFailure(fingerprint: string): Failure {
		return createFailure('quarantined', {crashes: this.countCrashes(fingerprint)});
	}

	/**
	 * Tells whether a request that has crashed an endpoint runs now; it runs one at a time.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Whether it must wait.
	 */
	isRunning(fingerprint: string): boolean {
		return this.#running.has(fingerprint);
	}

	/**
	 * Records that a request begins to run.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 */
	start(fingerprint: string): void {
		if (this.countCrashes(fingerprint) > 0) {
			this.#running.add(fingerprint);
		}
	}

	/**
	 * Records that a request has ended, in whatever way.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 */
	end(fingerprint: string): void {
		this.#running.delete(fingerprint);
	}

	/**
	 * Records a crash.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @param crashes - Total to record when another host counted them; otherwise one more.
	 */
	record(fingerprint: string, crashes = this.countCrashes(fingerprint) + 1): void {
		const until = this.#options.clock() + this.#options.memoryMilliseconds;
		this.#crashes.set(fingerprint, {crashes: Math.max(crashes, this.countCrashes(fingerprint)), until});
	}

	/**
	 * Forgets a request after it ended without a crash; a quarantined one stays until it expires.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 */
	release(fingerprint: string): void {
		if (!this.has(fingerprint)) {
			this.#crashes.delete(fingerprint);
		}
	}

	/**
	 * Lists what a new allocator needs to know.
	 *
	 * @returns All remembered crashes.
	 */
	list(): CrashRecord[] {
		return [...this.#crashes.keys()]
			.map(fingerprint => ({fingerprint, crashes: this.countCrashes(fingerprint)}))
			.filter(({crashes}) => crashes > 0);
	}
}
