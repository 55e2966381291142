import type {PrefixRoute} from './route-table.js';

/** Fractional part of the golden ratio; its multiples modulo 1 are a low-discrepancy sequence, evenly spread at any length. */
const goldenFraction = 0.618_033_988_749_894_9;

/** Distributes the requests of a route over its target services in proportion to their weights. */
export class TrafficSplitter {
	readonly #random: () => number;
	readonly #positions = new Map<string, number>();

	/**
	 * @param random - Returns a random number in [0, 1), the starting position of a route; it differs between hosts, so that
	 * they do not choose the same sequence of services.
	 */
	constructor(random: () => number = Math.random) {
		this.#random = random;
	}

	/**
	 * Chooses the target service for the next request of a route.
	 *
	 * @param route - A route with at least one target.
	 * @returns Name of the service.
	 */
	chooseService({name, targets}: Pick<PrefixRoute, 'name' | 'targets'>): string {
		const [first] = targets;
		if (targets.length === 1) {
			return first!.service;
		}

		const position = ((this.#positions.get(name) ?? this.#random()) + goldenFraction) % 1;
		this.#positions.set(name, position);
		const totalWeight = targets.reduce((sum, {weight}) => sum + weight, 0);
		let cumulativeWeight = 0;
		for (const {service, weight} of targets) {
			cumulativeWeight += weight;
			if (position * totalWeight < cumulativeWeight) {
				return service;
			}
		}

		return first!.service;
	}
}
