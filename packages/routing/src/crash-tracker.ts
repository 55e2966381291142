import type {Failure} from '@tanagerrail/results';
import type {Clock} from '@tanagerrail/telemetry';
import {Quarantine, type CrashRecord} from './quarantine.js';

/** Options of {@link CrashTracker}. */
export type CrashTrackerOptions = {
	readonly clock: Clock;
	/** Number of crashes without a success in between after which a request is refused. */
	readonly crashLimit: number;
	/** Number of requests whose crashes are kept; the ones that crashed an endpoint longest ago are dropped. */
	readonly maximumRecords: number;
	/** Called after a crash was counted on this host or on another one, with the records that changed. */
	readonly onChange: (records: readonly CrashRecord[]) => void;
};

/**
 * Defaults of {@link CrashTrackerOptions}. The limit is higher than that of an allocator, because a host that counts alone cannot
 * keep two attempts of the same request apart.
 */
export const defaultCrashTrackerOptions = {crashLimit: 3, maximumRecords: 200};

/** Part of the records that changed after a version. */
export type CrashDelta = {readonly version: number; readonly records: readonly CrashRecord[]};

/**
 * Counts crashes of endpoints by the request that they ran, on this host and, through the records that hosts exchange, on all of
 * them. An attempt counts only if it started after the last crash was counted: when several endpoints go down together, the
 * requests in progress there are affected but are not the cause.
 */
export class CrashTracker {
	readonly #options: CrashTrackerOptions;
	readonly #quarantine: Quarantine;
	/** Time of the last change and its version, by fingerprint, in the order of the changes. */
	readonly #changes = new Map<string, {readonly countedAt: number; readonly version: number}>();
	#version = 0;

	constructor(options: Partial<CrashTrackerOptions> & Omit<CrashTrackerOptions, keyof typeof defaultCrashTrackerOptions>) {
		this.#options = {...defaultCrashTrackerOptions, ...options};
		const {clock, crashLimit} = this.#options;
		this.#quarantine = new Quarantine({clock, crashLimit});
	}

	/** Whether no crash is known, so that requests need no fingerprint. */
	get isEmpty(): boolean {
		return this.#changes.size === 0;
	}

	/** Version of the records; it rises with each change. */
	get version(): number {
		return this.#version;
	}

	/**
	 * Records that an endpoint crashed while it ran a request.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @param startedAt - Monotonic time at which the attempt started, in milliseconds.
	 */
	recordCrash(fingerprint: string, startedAt: number): void {
		if (startedAt >= (this.#changes.get(fingerprint)?.countedAt ?? -Infinity)) {
			this.adopt([{fingerprint, crashes: this.#quarantine.countCrashes(fingerprint) + 1}]);
		}
	}

	/**
	 * Records a success, after which earlier crashes do not count unless the request is quarantined.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 */
	recordSuccess(fingerprint: string): void {
		this.#quarantine.release(fingerprint);
		if (this.#quarantine.countCrashes(fingerprint) === 0) {
			this.#changes.delete(fingerprint);
		}
	}

	/**
	 * Adopts records of another host.
	 *
	 * @param records - Crashes by fingerprint; those with no more crashes than known are ignored.
	 */
	adopt(records: readonly CrashRecord[]): void {
		const changed = records.filter(({fingerprint, crashes}) => crashes > this.#quarantine.countCrashes(fingerprint));
		if (changed.length === 0) {
			return;
		}

		this.#version += 1;
		for (const {fingerprint, crashes} of changed) {
			this.#quarantine.record(fingerprint, crashes);
			this.#changes.delete(fingerprint);
			this.#changes.set(fingerprint, {countedAt: this.#options.clock(), version: this.#version});
		}

		this.#dropOldest();
		this.#options.onChange(changed);
	}

	/**
	 * Checks whether a request may be sent to an endpoint.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns The failure `quarantined`, or undefined if the request may be sent.
	 */
	findRefusal(fingerprint: string): Failure | undefined {
		return this.#quarantine.has(fingerprint) ? this.#quarantine.createFailure(fingerprint) : undefined;
	}

	/**
	 * Lists the records that changed after a version.
	 *
	 * @param version - Version of the records that the other host has; 0 for none.
	 * @returns The records and the current version.
	 */
	listChanges(version: number): CrashDelta {
		const fingerprints = [...this.#changes].filter(([, change]) => change.version > version).map(([fingerprint]) => fingerprint);
		return {
			version: this.#version,
			records: fingerprints.map(fingerprint => ({fingerprint, crashes: this.#quarantine.countCrashes(fingerprint)})).filter(({crashes}) => crashes > 0),
		};
	}

	#dropOldest(): void {
		for (const fingerprint of this.#changes.keys()) {
			if (this.#changes.size <= this.#options.maximumRecords) {
				return;
			}

			this.#changes.delete(fingerprint);
			this.#quarantine.delete(fingerprint);
		}
	}
}
