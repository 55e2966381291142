import type {WorkClass} from '@tanagerrail/configuration';
import {AttemptOutcome, failedOutcomes} from './attempt-outcome.js';
import type {SlotRelease} from './slot-source.js';

/**
 * State of an endpoint as determined by the allocator. `cold`: in slow start, so only some of its slots are usable; `slow`: much
 * slower than the other endpoints of the service; `failing`: ejected after failures; `draining`: takes no new work.
 */
export const EndpointState = {
	healthy: 'healthy', cold: 'cold', slow: 'slow', failing: 'failing', draining: 'draining',
} as const;

/** One of the states of an endpoint. */
export type EndpointState = typeof EndpointState[keyof typeof EndpointState];

/** Options of {@link Endpoint}. */
export type EndpointOptions = {
	readonly id: string;
	/** `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	/** Whether the endpoint has just started; it then begins with one usable slot, and each success doubles their number. */
	readonly isCold: boolean;
	/** Number of latest outcomes in which failures are counted. */
	readonly outcomeWindow: number;
	/** Number of latest durations from which the slowness is computed. */
	readonly durationWindow: number;
	/** Number of failures in the window that ejects the endpoint. */
	readonly failureLimit: number;
	/** Length of the first ejection, in milliseconds; doubled each time up to the maximum. */
	readonly ejectionMilliseconds: number;
	readonly maximumEjectionMilliseconds: number;
	/** Time between trials of a slow endpoint, in milliseconds. */
	readonly trialMilliseconds: number;
};

/** Defaults of {@link EndpointOptions}. */
export const defaultEndpointOptions = {
	failureDomain: '',
	isCold: false,
	outcomeWindow: 10,
	durationWindow: 12,
	failureLimit: 5,
	ejectionMilliseconds: 250,
	maximumEjectionMilliseconds: 8000,
	trialMilliseconds: 250,
};

/** Number of durations kept when an endpoint becomes slow. */
const durationsKeptWhenSlow = 2;

/** An attempt in progress. */
type Attempt = {readonly startedAt: number; readonly workClass: WorkClass};

/** One server of a service: its slots, and its health as derived from its latest attempts. */
export class Endpoint {
	readonly #options: EndpointOptions;
	/** Attempts in progress, by grant id. */
	readonly #attempts = new Map<string, Attempt>();
	readonly #leases = new Set<string>();
	/** Whether each of the latest attempts failed. */
	#outcomes: boolean[] = [];
	/** Latest durations, relative to the usual duration of their work class. */
	#relativeDurations: number[] = [];
	#slots: number;
	/** Slots that may be used; fewer than all during the slow start. */
	#usableSlots: number;
	#ejectedUntil = 0;
	/** Length of the last ejection; 0 after a successful trial. */
	#lastEjectionMilliseconds = 0;
	#isEjected = false;
	#isSlow = false;
	#isDraining = false;
	#isListedLeaving = false;
	#seenAt = -Infinity;
	#lastTrialAt = 0;
	#reason = 'no failure seen';

	constructor(options: Partial<EndpointOptions> & Pick<EndpointOptions, 'id' | 'address' | 'slots'>) {
		this.#options = {...defaultEndpointOptions, ...options};
		this.#slots = this.#options.slots;
		this.#usableSlots = this.#options.isCold ? 1 : this.#slots;
	}

	get id(): string {
		return this.#options.id;
	}

	get address(): string {
		return this.#options.address;
	}

	get failureDomain(): string {
		return this.#options.failureDomain;
	}

	/** Attempts in progress. */
	get inUse(): number {
		return this.#attempts.size;
	}

	/** Slots that hosts keep for their next request. */
	get leased(): number {
		return this.#leases.size;
	}

	get slots(): number {
		return this.#slots;
	}

	/** Usable slots that are neither in use nor leased. */
	get freeSlots(): number {
		return Math.max(0, this.#usableSlots - this.#attempts.size - this.#leases.size);
	}

	/** Monotonic time of the last response or probe, in milliseconds. */
	get seenAt(): number {
		return this.#seenAt;
	}

	/** Why the endpoint is in its state, for operators. */
	get reason(): string {
		return this.#reason;
	}

	get state(): EndpointState {
		if (this.#isDraining) {
			return EndpointState.draining;
		}

		if (this.#isEjected) {
			return EndpointState.failing;
		}

		if (this.#isSlow) {
			return EndpointState.slow;
		}

		return this.#usableSlots < this.#slots ? EndpointState.cold : EndpointState.healthy;
	}

	/**
	 * Tells whether a trial may start: a single attempt at a failing or slow endpoint.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether a trial is due.
	 */
	isTrialDue(now: number): boolean {
		if (this.#isEjected) {
			return now >= this.#ejectedUntil && this.#attempts.size === 0;
		}

		return this.#attempts.size === 0 && now - this.#lastTrialAt >= this.#options.trialMilliseconds;
	}

	/**
	 * Takes a slot.
	 *
	 * @param grantId - Id of the grant that holds it.
	 * @param workClass - Work class of the request.
	 * @param now - Monotonic time in milliseconds.
	 */
	take(grantId: string, workClass: WorkClass, now: number): void {
		if (this.#isSlow || this.#isEjected) {
			this.#lastTrialAt = now;
		}

		this.#leases.delete(grantId);
		this.#attempts.set(grantId, {startedAt: now, workClass});
	}

	/**
	 * Leases a slot to a host that has no request for it yet.
	 *
	 * @param grantId - Id of the lease.
	 */
	addLease(grantId: string): void {
		this.#leases.add(grantId);
	}

	/**
	 * Ends a lease.
	 *
	 * @param grantId - Id of the lease.
	 */
	removeLease(grantId: string): void {
		this.#leases.delete(grantId);
	}

	/**
	 * Releases a slot and updates the health from the outcome of the attempt.
	 *
	 * @param grantId - Id of the grant.
	 * @param release - How the attempt ended.
	 * @param now - Monotonic time in milliseconds.
	 */
	release(grantId: string, release: SlotRelease, now: number): void {
		const attempt = this.#attempts.get(grantId);
		if (!attempt) {
			return;
		}

		this.#attempts.delete(grantId);
		if (release.isDraining) {
			this.drain('the endpoint announced that it is draining');
		}

		if (release.outcome === AttemptOutcome.success) {
			this.#seenAt = now;
			this.#usableSlots = Math.min(this.#slots, this.#usableSlots * 2);
		}

		const relativeDuration = release.milliseconds / attempt.workClass.usualMilliseconds;
		// The duration of a cancelled or timed-out attempt is a lower bound, so it counts only if it exceeds the median.
		const isCensored = release.outcome === AttemptOutcome.cancelled || release.outcome === AttemptOutcome.timeout;
		if (release.outcome === AttemptOutcome.success || (isCensored && relativeDuration > this.#medianDuration)) {
			this.#relativeDurations = [...this.#relativeDurations, relativeDuration].slice(-this.#options.durationWindow);
		}

		if (release.outcome === AttemptOutcome.success || failedOutcomes.has(release.outcome)) {
			this.#recordOutcome(release.outcome, now);
		}
	}

	/**
	 * Stops new work on this endpoint.
	 *
	 * @param reason - Source of the draining notice, for operators.
	 */
	drain(reason: string): void {
		this.#isDraining = true;
		this.#reason = reason;
	}

	/**
	 * Changes the number of slots.
	 *
	 * @param slots - The new number; attempts in progress beyond it continue.
	 */
	setSlots(slots: number): void {
		this.#usableSlots = this.#usableSlots === this.#slots ? slots : Math.min(this.#usableSlots, slots);
		this.#slots = slots;
	}

	/**
	 * Sets the state from the host list, which takes precedence over load reports of the endpoint.
	 *
	 * @param isLeaving - Whether the host list has the endpoint as leaving; it then drains.
	 */
	setListedLeaving(isLeaving: boolean): void {
		this.#isListedLeaving = isLeaving;
		if (isLeaving) {
			this.drain('listed as leaving');
		}
	}

	/**
	 * Records that a probe is sent, so that the next one goes to another endpoint.
	 *
	 * @param now - Monotonic time in milliseconds.
	 */
	recordProbe(now: number): void {
		this.#seenAt = now;
	}

	/** Ends draining after a load report without a draining notice, unless the host list has the endpoint as leaving. */
	resume(): void {
		if (!this.#isDraining || this.#isListedLeaving) {
			return;
		}

		this.#isDraining = false;
		this.#usableSlots = 1;
		this.#reason = 'its load report no longer has a draining notice';
	}

	/**
	 * Computes the slowness: the median of recent durations, each relative to the usual duration of its work class. Attempts
	 * in progress count once they have taken longer than the median of the completed ones.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns The slowness; nothing without samples.
	 */
	computeSlowness(now: number): number | undefined {
		const completed = this.#relativeDurations;
		const median = this.#medianDuration;
		const running = [...this.#attempts.values()]
			.map(({startedAt, workClass}) => (now - startedAt) / workClass.usualMilliseconds)
			.filter(value => value > median);
		const samples = [...completed.slice(-(this.#options.durationWindow - running.length)), ...running];
		return samples.length === 0 ? undefined : computeMedian(samples);
	}

	/**
	 * Sets whether the endpoint is slow.
	 *
	 * @param isSlow - Whether it is slow compared with the other endpoints of the service.
	 * @param reason - Result of the comparison, for operators.
	 */
	setSlow(isSlow: boolean, reason: string): void {
		if (isSlow === this.#isSlow) {
			return;
		}

		this.#isSlow = isSlow;
		this.#reason = reason;
		// Trials are rare, so most old durations are dropped; a few fast trials can then bring the median down again.
		this.#relativeDurations = isSlow ? this.#relativeDurations.slice(-durationsKeptWhenSlow) : this.#relativeDurations;
	}

	/** Number of completed and running attempts from which {@link computeSlowness} takes its samples. */
	get sampleCount(): number {
		return this.#relativeDurations.length + this.#attempts.size;
	}

	get #medianDuration(): number {
		return this.#relativeDurations.length > 0 ? computeMedian(this.#relativeDurations) : 1;
	}

	#recordOutcome(outcome: AttemptOutcome, now: number): void {
		const hasFailed = failedOutcomes.has(outcome);
		if (this.#isEjected) {
			this.#finishTrial(hasFailed, outcome, now);
			return;
		}

		this.#outcomes = [...this.#outcomes, hasFailed].slice(-this.#options.outcomeWindow);
		const failures = this.#outcomes.filter(Boolean).length;
		// A failed connection attempt shows that no server listens there, so one is enough.
		if (failures >= this.#options.failureLimit || outcome === AttemptOutcome.unreachable) {
			this.#eject(now, `${failures} of the last ${this.#outcomes.length} attempts failed, the last as ${outcome}`);
		}
	}

	#finishTrial(hasFailed: boolean, outcome: AttemptOutcome, now: number): void {
		if (now < this.#ejectedUntil) {
			return;
		}

		if (hasFailed) {
			this.#eject(now, `a trial ended as ${outcome}`);
			return;
		}

		this.#isEjected = false;
		this.#lastEjectionMilliseconds = 0;
		this.#outcomes = [];
		this.#usableSlots = 1;
		this.#reason = 'a trial succeeded after an ejection';
	}

	#eject(now: number, reason: string): void {
		this.#lastEjectionMilliseconds = Math.min(
			this.#options.maximumEjectionMilliseconds,
			this.#lastEjectionMilliseconds === 0 ? this.#options.ejectionMilliseconds : this.#lastEjectionMilliseconds * 2,
		);
		this.#ejectedUntil = now + this.#lastEjectionMilliseconds;
		this.#isEjected = true;
		this.#reason = reason;
	}
}

function computeMedian(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)]!;
}
