import type {WorkClass} from '@tanagerrail/configuration';
import {AttemptOutcome, failedOutcomes} from './attempt-outcome.js';
import type {SlotRelease} from './slot-source.js';

/** State of an endpoint in the view of an allocator. */
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
	/** Whether the endpoint has just started and gets its slots step by step. */
	readonly isCold: boolean;
	/** Number of latest outcomes that are looked at. */
	readonly windowLength: number;
	/** Number of latest durations that are looked at. */
	readonly durationWindow: number;
	/** Failures within the window that eject the endpoint. */
	readonly failureLimit: number;
	/** First ejection, doubled each time up to the longest, in milliseconds. */
	readonly ejectionMilliseconds: number;
	readonly longestEjectionMilliseconds: number;
	/** Time between trials of a slow endpoint, in milliseconds. */
	readonly trialMilliseconds: number;
};

/** Defaults of {@link EndpointOptions}. */
export const defaultEndpointOptions = {
	failureDomain: '',
	isCold: false,
	windowLength: 10,
	durationWindow: 12,
	failureLimit: 5,
	ejectionMilliseconds: 250,
	longestEjectionMilliseconds: 8000,
	trialMilliseconds: 250,
};

/** Durations kept when an endpoint becomes slow. */
const trialVotes = 2;

/** An attempt in progress. */
type Attempt = {readonly startedAt: number; readonly workClass: WorkClass};

/** One server of a service: its slots in use and what its latest attempts say about it. */
export class Endpoint {
	readonly #options: EndpointOptions;
	readonly #attempts = new Map<string, Attempt>();
	readonly #leases = new Set<string>();
	#outcomes: boolean[] = [];
	#durations: number[] = [];
	#slots: number;
	#openSlots: number;
	#ejectedUntil = 0;
	#ejection = 0;
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
		this.#openSlots = this.#options.isCold ? 1 : this.#slots;
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

	get freeSlots(): number {
		return Math.max(0, this.#openSlots - this.#attempts.size - this.#leases.size);
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

		return this.#openSlots < this.#slots ? EndpointState.cold : EndpointState.healthy;
	}

	/**
	 * Tells whether the endpoint is due for a single attempt although it is failing or slow.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether one trial may start.
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
	 * Leaves a slot with a host that has no request for it yet.
	 *
	 * @param grantId - Id of the lease.
	 */
	addLease(grantId: string): void {
		this.#leases.add(grantId);
	}

	/**
	 * Takes a leased slot back.
	 *
	 * @param grantId - Id of the lease.
	 */
	removeLease(grantId: string): void {
		this.#leases.delete(grantId);
	}

	/**
	 * Gives a slot back and learns from how the attempt ended.
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
			this.drain('the endpoint announced that it is leaving');
		}

		if (release.outcome === AttemptOutcome.success) {
			this.#seenAt = now;
			this.#openSlots = Math.min(this.#slots, this.#openSlots * 2);
		}

		const duration = release.milliseconds / attempt.workClass.usualMilliseconds;
		// A cancelled attempt lasted at least this long; only one that is already longer than usual says something.
		const isCensored = release.outcome === AttemptOutcome.cancelled || release.outcome === AttemptOutcome.timeout;
		if (release.outcome === AttemptOutcome.success || (isCensored && duration > this.#typicalDuration)) {
			this.#durations = [...this.#durations, duration].slice(-this.#options.durationWindow);
		}

		if (release.outcome === AttemptOutcome.success || failedOutcomes.has(release.outcome)) {
			this.#recordOutcome(release.outcome, now);
		}
	}

	/**
	 * Stops new work on this endpoint.
	 *
	 * @param reason - Where the notice came from.
	 */
	drain(reason: string): void {
		this.#isDraining = true;
		this.#reason = reason;
	}

	/**
	 * Changes the number of slots.
	 *
	 * @param slots - The new number; attempts beyond it go on.
	 */
	setSlots(slots: number): void {
		this.#openSlots = this.#openSlots === this.#slots ? slots : Math.min(this.#openSlots, slots);
		this.#slots = slots;
	}

	/**
	 * Takes over the state of the host list; it goes before what the endpoint says itself.
	 *
	 * @param isLeaving - Whether the endpoint is listed as leaving.
	 */
	setListedLeaving(isLeaving: boolean): void {
		this.#isListedLeaving = isLeaving;
		if (isLeaving) {
			this.drain('listed as leaving');
		}
	}

	/**
	 * Records that the endpoint is probed, so that it is not probed again at once.
	 *
	 * @param now - Monotonic time in milliseconds.
	 */
	recordProbe(now: number): void {
		this.#seenAt = now;
	}

	/** Takes new work again after a load report without a draining notice, unless the host list says otherwise. */
	resume(): void {
		if (!this.#isDraining || this.#isListedLeaving) {
			return;
		}

		this.#isDraining = false;
		this.#openSlots = 1;
		this.#reason = 'its load report no longer says that it is leaving';
	}

	/**
	 * Computes the recent duration relative to the usual one of each work class.
	 *
	 * @param now - Monotonic time in milliseconds.
	 * @returns Median of the latest durations and of the attempts that have already taken longer; nothing without samples.
	 */
	computeSlowness(now: number): number | undefined {
		const finished = this.#durations;
		const typical = this.#typicalDuration;
		const pending = [...this.#attempts.values()]
			.map(({startedAt, workClass}) => (now - startedAt) / workClass.usualMilliseconds)
			.filter(value => value > typical);
		const samples = [...finished.slice(-(this.#options.durationWindow - pending.length)), ...pending];
		return samples.length === 0 ? undefined : computeMedian(samples);
	}

	/**
	 * Marks the endpoint as slow or as usual again.
	 *
	 * @param isSlow - Whether it is slow compared with the others.
	 * @param reason - The comparison, for operators.
	 */
	setSlow(isSlow: boolean, reason: string): void {
		if (isSlow === this.#isSlow) {
			return;
		}

		this.#isSlow = isSlow;
		this.#reason = reason;
		// Trials are rare, so a few of them must be able to outvote what made the endpoint slow.
		this.#durations = isSlow ? this.#durations.slice(-trialVotes) : this.#durations;
	}

	/** Number of finished attempts that {@link computeSlowness} rests on. */
	get sampleCount(): number {
		return this.#durations.length + this.#attempts.size;
	}

	get #typicalDuration(): number {
		return this.#durations.length > 0 ? computeMedian(this.#durations) : 1;
	}

	#recordOutcome(outcome: AttemptOutcome, now: number): void {
		const hasFailed = failedOutcomes.has(outcome);
		if (this.#isEjected) {
			this.#settleTrial(hasFailed, outcome, now);
			return;
		}

		this.#outcomes = [...this.#outcomes, hasFailed].slice(-this.#options.windowLength);
		const failures = this.#outcomes.filter(Boolean).length;
		// A refused connection says that nothing listens there, so one is enough.
		if (failures >= this.#options.failureLimit || outcome === AttemptOutcome.unreachable) {
			this.#eject(now, `${failures} of the last ${this.#outcomes.length} attempts failed, the last as ${outcome}`);
		}
	}

	#settleTrial(hasFailed: boolean, outcome: AttemptOutcome, now: number): void {
		if (now < this.#ejectedUntil) {
			return;
		}

		if (hasFailed) {
			this.#eject(now, `a trial ended as ${outcome}`);
			return;
		}

		this.#isEjected = false;
		this.#ejection = 0;
		this.#outcomes = [];
		this.#openSlots = 1;
		this.#reason = 'a trial succeeded after an ejection';
	}

	#eject(now: number, reason: string): void {
		this.#ejection = Math.min(this.#options.longestEjectionMilliseconds, this.#ejection === 0 ? this.#options.ejectionMilliseconds : this.#ejection * 2);
		this.#ejectedUntil = now + this.#ejection;
		this.#isEjected = true;
		this.#reason = reason;
	}
}

function computeMedian(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)]!;
}
