import type {WorkClass} from '@tanagerrail/configuration';
import type {EndpointStatus} from './allocation.js';
import {Endpoint, EndpointState} from './endpoint.js';

/** An endpoint as the host list gives it. */
export type ListedEndpoint = {
	readonly id: string;
	readonly address: string;
	readonly failureDomain: string;
	readonly isLeaving: boolean;
};

/** What an endpoint is chosen for. */
export type EndpointChoice = {
	readonly excluded: readonly string[];
	/** Failure domain of the asking host; the same one is preferred when all else is equal. */
	readonly failureDomain: string;
	/** Time the request would otherwise wait, in milliseconds; a slow endpoint is used when it is faster than waiting. */
	readonly getExpectedWait: () => number;
	readonly workClass: WorkClass;
	readonly now: number;
};

/** Options of {@link EndpointPool}. */
export type EndpointPoolOptions = {
	readonly slotsPerEndpoint: number;
	/** An endpoint is slow when its recent duration is above this multiple of the median of the others. */
	readonly slowFactor: number;
	/** Samples an endpoint needs before it can be slow. */
	readonly slowSamples: number;
	/** Random numbers between 0 and 1. */
	readonly random: () => number;
};

/**
 * Defaults of {@link EndpointPoolOptions}. By the binomial distribution, exponential durations reach 3 times their median in
 * 5 of 10 samples with a probability of 0.4%, which sets healthy endpoints aside again and again; 4 times in 6 of 12 samples
 * has 0.005%.
 */
export const defaultEndpointPoolOptions = {slowFactor: 4, slowSamples: 3, random: Math.random};

/** Time between two comparisons of the endpoints' durations, in milliseconds. */
const slowCheckMilliseconds = 10;

/** Small against the share of one slot, so that free slots always decide first. */
const nearBonus = 0.001;

const trialStates: ReadonlySet<EndpointState> = new Set([EndpointState.failing, EndpointState.slow]);

/** The endpoints of one service. */
export class EndpointPool {
	readonly #options: EndpointPoolOptions;
	readonly #endpoints = new Map<string, Endpoint>();
	#slotsPerEndpoint: number;
	#isFirstList = true;
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
	 * Takes over the endpoints of the host list. Those of the first list count as warm, because they were there before
	 * this allocator; later ones start cold.
	 *
	 * @param listed - The endpoints of the service.
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
					id, address, failureDomain, slots: this.#slotsPerEndpoint, isCold: !this.#isFirstList,
				});
			this.#endpoints.set(id, endpoint);
			endpoint.setListedLeaving(isLeaving);
		}

		this.#isFirstList &&= listed.length === 0;
	}

	/**
	 * Changes the slots of each endpoint.
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
	 * @param choice - What it is for.
	 * @returns The endpoint, or nothing when none has a slot for this request.
	 */
	choose(choice: EndpointChoice): Endpoint | undefined {
		this.#updateSlow(choice.now);
		let best: Endpoint | undefined;
		let slow: Endpoint | undefined;
		let bestRank = -1;
		for (const endpoint of this.#endpoints.values()) {
			if (endpoint.freeSlots === 0 || choice.excluded.includes(endpoint.id)) {
				continue;
			}

			const {state} = endpoint;
			if (trialStates.has(state)) {
				if (endpoint.isTrialDue(choice.now)) {
					return endpoint;
				}

				slow = state === EndpointState.slow ? endpoint : slow;
				continue;
			}

			const rank = this.#rank(endpoint, choice.failureDomain);
			if (state !== EndpointState.draining && rank > bestRank) {
				best = endpoint;
				bestRank = rank;
			}
		}

		if (best) {
			return best;
		}

		// A slow endpoint is better than a longer wait.
		const duration = (slow?.computeSlowness(choice.now) ?? Infinity) * choice.workClass.usualMilliseconds;
		return slow && duration < choice.getExpectedWait() ? slow : undefined;
	}

	/** Ranks by free slots first, then the same failure domain, then at random. */
	#rank(endpoint: Endpoint, failureDomain: string): number {
		const nearness = endpoint.failureDomain === failureDomain ? nearBonus : 0;
		return (endpoint.freeSlots / endpoint.slots) + nearness + (this.#options.random() * nearBonus);
	}

	#updateSlow(now: number): void {
		if (now - this.#slowCheckedAt < slowCheckMilliseconds) {
			return;
		}

		this.#slowCheckedAt = now;
		const measured = this.list()
			.filter(({sampleCount}) => sampleCount >= this.#options.slowSamples)
			.map(endpoint => ({endpoint, slowness: endpoint.computeSlowness(now) ?? 0}))
			.sort((left, right) => left.slowness - right.slowness);
		const median = measured[Math.floor((measured.length - 1) / 2)]?.slowness ?? 0;
		const mostSlow = Math.floor(this.#endpoints.size / 2);
		const slow = new Set(measured.slice(mostSlow > 0 ? -mostSlow : measured.length)
			.filter(({slowness}) => median > 0 && slowness > median * this.#options.slowFactor)
			.map(({endpoint}) => endpoint.id));
		for (const {endpoint, slowness} of measured) {
			endpoint.setSlow(slow.has(endpoint.id), `recent duration is ${(slowness / (median || 1)).toFixed(1)} times the median of the service`);
		}
	}
}
