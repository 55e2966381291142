import type {WorkClass} from '@tanagerrail/configuration';
import type {EndpointStatus} from './allocation.js';
import {Endpoint, EndpointState} from './endpoint.js';

/** An entry of the host list for an endpoint. */
export type ListedEndpoint = {
	readonly id: string;
	readonly address: string;
	readonly failureDomain: string;
	/** Whether the host list has the endpoint as leaving. */
	readonly isLeaving: boolean;
};

/** Criteria for the choice of an endpoint. */
export type EndpointCriteria = {
	/** Ids of endpoints that must not be chosen. */
	readonly excluded: readonly string[];
	/** Failure domain of the requesting host; its endpoints are preferred among those with equal shares of free slots. */
	readonly failureDomain: string;
	/** Returns the expected wait in milliseconds; a slow endpoint is used if its expected duration is shorter. */
	readonly getExpectedWait: () => number;
	readonly workClass: WorkClass;
	readonly now: number;
};

/** Options of {@link EndpointPool}. */
export type EndpointPoolOptions = {
	readonly slotsPerEndpoint: number;
	/** Multiple of the median slowness of all endpoints above which an endpoint is slow. */
	readonly slowFactor: number;
	/** Number of samples below which an endpoint is not compared with the others. */
	readonly slowSamples: number;
	/** Returns a random number between 0 and 1. */
	readonly random: () => number;
};

/**
 * Defaults of {@link EndpointPoolOptions}. The factor is 4 to avoid false positives: with exponentially distributed durations,
 * 6 of 12 samples exceed 4 times their median with a probability of 0.005%. For 5 of 10 samples and a factor of 3 it is
 * 0.4%, so healthy endpoints would often be marked as slow.
 */
export const defaultEndpointPoolOptions = {slowFactor: 4, slowSamples: 3, random: Math.random};

/** Minimum time between two comparisons of the endpoints' slowness, in milliseconds. */
const slowCheckIntervalMilliseconds = 10;

/** Weight of the failure domain and the random tie-break; less than the share of one slot, so that free slots decide first. */
const tieBreakWeight = 0.001;

/** States in which an endpoint gets trials only. */
const trialStates: ReadonlySet<EndpointState> = new Set([EndpointState.failing, EndpointState.slow]);

/** The endpoints of one service. */
export class EndpointPool {
	readonly #options: EndpointPoolOptions;
	readonly #endpoints = new Map<string, Endpoint>();
	#slotsPerEndpoint: number;
	#isFirstUpdate = true;
	#slowCheckedAt = -Infinity;

	constructor(options: Partial<EndpointPoolOptions> & Pick<EndpointPoolOptions, 'slotsPerEndpoint'>) {
		this.#options = {...defaultEndpointPoolOptions, ...options};
		this.#slotsPerEndpoint = options.slotsPerEndpoint;
	}

	/** Slots of all endpoints that take new work. */
	get slots(): number {
		let slots = 0;
		for (const endpoint of this.#endpoints.values()) {
			slots += endpoint.state === EndpointState.draining ? 0 : endpoint.slots;
		}

		return slots;
	}

	/** Whether any endpoint has a free slot. */
	get hasFreeSlot(): boolean {
		for (const endpoint of this.#endpoints.values()) {
			if (endpoint.freeSlots > 0) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Lists the endpoints.
	 *
	 * @returns All known endpoints.
	 */
	list(): Endpoint[] {
		return [...this.#endpoints.values()];
	}

	/**
	 * Describes the endpoints for operators.
	 *
	 * @returns State, reason and slots of each endpoint.
	 */
	describe(): EndpointStatus[] {
		return this.list().map(({id, state, reason, slots, inUse, leased}) => ({
			id, state, reason, slots, inUse, leased,
		}));
	}

	/**
	 * Finds an endpoint.
	 *
	 * @param id - Endpoint id.
	 * @returns The endpoint, or nothing when it is not listed.
	 */
	get(id: string): Endpoint | undefined {
		return this.#endpoints.get(id);
	}

	/**
	 * Updates the endpoints from the host list. Endpoints of the first non-empty list count as warm, because they started
	 * before this allocator; later ones start cold.
	 *
	 * @param listed - The listed endpoints of the service.
	 */
	update(listed: readonly ListedEndpoint[]): void {
		const ids = new Set(listed.map(({id}) => id));
		for (const endpoint of this.list()) {
			if (!ids.has(endpoint.id)) {
				endpoint.setListedLeaving(true);
				if (endpoint.inUse === 0) {
					this.#endpoints.delete(endpoint.id);
				}
			}
		}

		for (const {id, address, failureDomain, isLeaving} of listed) {
			const known = this.#endpoints.get(id);
			const endpoint = known?.address === address
				? known
				: new Endpoint({
					id, address, failureDomain, slots: this.#slotsPerEndpoint, isCold: !this.#isFirstUpdate,
				});
			this.#endpoints.set(id, endpoint);
			endpoint.setListedLeaving(isLeaving);
		}

		this.#isFirstUpdate &&= listed.length === 0;
	}

	/**
	 * Changes the number of slots of each endpoint.
	 *
	 * @param slotsPerEndpoint - The new number.
	 */
	updateSlots(slotsPerEndpoint: number): void {
		this.#slotsPerEndpoint = slotsPerEndpoint;
		for (const endpoint of this.#endpoints.values()) {
			endpoint.setSlots(slotsPerEndpoint);
		}
	}

	/**
	 * Chooses the endpoint for a request.
	 *
	 * @param criteria - Criteria of the request.
	 * @returns The endpoint, or nothing when none has a suitable free slot.
	 */
	choose(criteria: EndpointCriteria): Endpoint | undefined {
		this.#updateSlowEndpoints(criteria.now);
		let best: Endpoint | undefined;
		let slow: Endpoint | undefined;
		let bestRank = -1;
		for (const endpoint of this.#endpoints.values()) {
			if (endpoint.freeSlots === 0 || criteria.excluded.includes(endpoint.id)) {
				continue;
			}

			const {state} = endpoint;
			if (trialStates.has(state)) {
				if (endpoint.isTrialDue(criteria.now)) {
					return endpoint;
				}

				slow = state === EndpointState.slow ? endpoint : slow;
				continue;
			}

			const rank = this.#rank(endpoint, criteria.failureDomain);
			if (state !== EndpointState.draining && rank > bestRank) {
				best = endpoint;
				bestRank = rank;
			}
		}

		if (best) {
			return best;
		}

		// A slow endpoint is used if its expected duration is shorter than the wait for another one.
		const duration = (slow?.computeSlowness(criteria.now) ?? Infinity) * criteria.workClass.usualMilliseconds;
		return slow && duration < criteria.getExpectedWait() ? slow : undefined;
	}

	/** Ranks by the share of free slots; failure domain and a random number decide between equal shares. */
	#rank(endpoint: Endpoint, failureDomain: string): number {
		const domainBonus = endpoint.failureDomain === failureDomain ? tieBreakWeight : 0;
		return (endpoint.freeSlots / endpoint.slots) + domainBonus + (this.#options.random() * tieBreakWeight);
	}

	/** Marks the endpoints whose slowness exceeds the median by the factor, at most half of all endpoints. */
	#updateSlowEndpoints(now: number): void {
		if (now - this.#slowCheckedAt < slowCheckIntervalMilliseconds) {
			return;
		}

		this.#slowCheckedAt = now;
		const measured = this.list()
			.filter(({sampleCount}) => sampleCount >= this.#options.slowSamples)
			.map(endpoint => ({endpoint, slowness: endpoint.computeSlowness(now) ?? 0}))
			.sort((left, right) => left.slowness - right.slowness);
		const median = measured[Math.floor((measured.length - 1) / 2)]?.slowness ?? 0;
		const maximumSlow = Math.floor(this.#endpoints.size / 2);
		const slow = new Set(measured.slice(maximumSlow > 0 ? -maximumSlow : measured.length)
			.filter(({slowness}) => median > 0 && slowness > median * this.#options.slowFactor)
			.map(({endpoint}) => endpoint.id));
		for (const {endpoint, slowness} of measured) {
			endpoint.setSlow(slow.has(endpoint.id), `recent duration is ${(slowness / (median || 1)).toFixed(1)} times the median of the service`);
		}
	}
}
