import {createFailure, type Failure} from '@tanagerrail/results';
import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link Quarantine}. */
export type QuarantineOptions = {
	readonly clock: Clock;
	/** Number of crashes without a success in between after which a request is refused. */
	readonly crashLimit: number;
	/** Time after the last crash for which the crashes are kept, in milliseconds. */
	readonly retentionMilliseconds: number;
};

/** Defaults of {@link QuarantineOptions}; the limit is 2 because the endpoint itself may have caused the first crash. */
export const defaultQuarantineOptions = {crashLimit: 2, retentionMilliseconds: 600_000};

/** Crashes of one fingerprint, as hosts report them to a new allocator. */
export type CrashRecord = {readonly fingerprint: string; readonly crashes: number};

/** Counts endpoint crashes by request fingerprint and refuses requests that reach the crash limit. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	readonly #crashes = new Map<string, {crashes: number; expiresAt: number}>();
	/** Fingerprints with a recorded crash whose request runs now. */
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

		if (entry.expiresAt < this.#options.clock()) {
			this.#crashes.delete(fingerprint);
			return 0;
		}

		return entry.crashes;
	}

	/**
	 * Tells whether a request is quarantined.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Whether it reached the crash limit.
	 */
	has(fingerprint: string): boolean {
		return this.countCrashes(fingerprint) >= this.#options.crashLimit;
	}

	/**
	 * Creates the failure with which a quarantined request is refused.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns The failure `quarantined`.
	 */
	createFailure(fingerprint: string): Failure {
		return createFailure('quarantined', {crashes: this.countCrashes(fingerprint)});
	}

	/**
	 * Tells whether a request with a recorded crash runs now. Such requests run one at a time per fingerprint.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Whether further requests with this fingerprint must wait.
	 */
	isRunning(fingerprint: string): boolean {
		return this.#running.has(fingerprint);
	}

	/**
	 * Records that a request starts.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 */
	start(fingerprint: string): void {
		if (this.countCrashes(fingerprint) > 0) {
			this.#running.add(fingerprint);
		}
	}

	/**
	 * Records that a request has ended, with any outcome.
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
	 * @param crashes - Number of crashes that another host counted; by default one more than recorded.
	 */
	record(fingerprint: string, crashes = this.countCrashes(fingerprint) + 1): void {
		const expiresAt = this.#options.clock() + this.#options.retentionMilliseconds;
		this.#crashes.set(fingerprint, {crashes: Math.max(crashes, this.countCrashes(fingerprint)), expiresAt});
	}

	/**
	 * Adopts the count of another host if it is higher.
	 *
	 * @param record - The other host's count.
	 * @returns Whether the count has risen.
	 */
	merge({fingerprint, crashes}: CrashRecord): boolean {
		if (crashes <= this.countCrashes(fingerprint)) {
			return false;
		}

		this.record(fingerprint, crashes);
		return true;
	}

	/**
	 * Removes the crashes of a request after a success, unless it is quarantined; then they stay until they expire.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 */
	release(fingerprint: string): void {
		if (!this.has(fingerprint)) {
			this.#crashes.delete(fingerprint);
		}
	}

	/**
	 * Removes the crashes of a request, whether it is quarantined or not.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 */
	delete(fingerprint: string): void {
		this.#crashes.delete(fingerprint);
	}

	/**
	 * Lists the crashes, for a new allocator.
	 *
	 * @returns All crashes that have not expired.
	 */
	list(): CrashRecord[] {
		return [...this.#crashes.keys()]
			.map(fingerprint => ({fingerprint, crashes: this.countCrashes(fingerprint)}))
			.filter(({crashes}) => crashes > 0);
	}
}
