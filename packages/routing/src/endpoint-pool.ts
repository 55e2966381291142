import type {WorkClass} from '@tanagerrail/configuration';
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
	readonly expectedWait: number;
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

/** Defaults of {@link EndpointPoolOptions}. */
export const defaultEndpointPoolOptions = {slowFactor: 3, slowSamples: 3, random: Math.random};

const milliInSlowCheck = 10;

/** The endpoints of one service. */
export class EndpointPool {
	#options: EndpointPoolOptions;
	readonly #endpoints = new Map<string, Endpoint>();
	#isFirstList = true;
	#slowCheckedAt = -Infinity;

	constructor(options: Partial<EndpointPoolOptions> & Pick<EndpointPoolOptions, 'slotsPerEndpoint'>) {
		this.#options = {...defaultEndpointPoolOptions, ...options};
	}

	/** Slots of all endpoints that take new work. */
	get slots(): number {
		return this.list().filter(({state}) => state !== EndpointState.draining).reduce((sum, {slots}) => sum + slots, 0);
	}

	get inUse(): number {
		return this.list().reduce((sum, {inUse}) => sum + inUse, 0);
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
				endpoint.drain('no longer listed');
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
					id, address, failureDomain, slots: this.#options.slotsPerEndpoint, isCold: !this.#isFirstList,
				});
			this.#endpoints.set(id, endpoint);
			if (isLeaving) {
				endpoint.drain('listed as leaving');
			}
		}

		this.#isFirstList &&= listed.length === 0;
	}

	/**
	 * Changes the number of slots of each endpoint.
	 *
	 * @param slotsPerEndpoint - The new number.
	 */
	setSlots(slotsPerEndpoint: number): void {
		this.#options = {...this.#options, slotsPerEndpoint};
		for (const endpoint of this.list()) {
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
		const candidates = this.list().filter(endpoint => endpoint.freeSlots > 0 && !choice.excluded.includes(endpoint.id));
		const trial = candidates.find(endpoint => hasTrialState(endpoint) && endpoint.isTrialDue(choice.now));
		if (trial) {
			return trial;
		}

		const usual = candidates.filter(({state}) => state === EndpointState.healthy || state === EndpointState.cold);
		if (usual.length > 0) {
			return this.#pick(usual, choice);
		}

		// A slow endpoint is better than a longer wait.
		return candidates.find(endpoint => endpoint.state === EndpointState.slow
			&& (endpoint.computeSlowness(choice.now) ?? 0) * choice.workClass.usualMilliseconds < choice.expectedWait);
	}

	#pick(endpoints: readonly Endpoint[], {failureDomain}: EndpointChoice): Endpoint | undefined {
		const ranked = endpoints.map(endpoint => ({
			endpoint,
			free: endpoint.freeSlots / endpoint.slots,
			isNear: endpoint.failureDomain === failureDomain ? 1 : 0,
			tie: this.#options.random(),
		}));
		ranked.sort((left, right) => right.free - left.free || right.isNear - left.isNear || left.tie - right.tie);
		return ranked[0]?.endpoint;
	}

	#updateSlow(now: number): void {
		if (now - this.#slowCheckedAt < milliInSlowCheck) {
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

function hasTrialState({state}: Endpoint): boolean {
	return state === EndpointState.failing || state === EndpointState.slow;
}
