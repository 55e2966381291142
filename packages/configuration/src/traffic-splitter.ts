import type {PrefixRoute} from './route-table.js';

/** Fractional part of the golden ratio: its multiples modulo 1 spread evenly however few or many are drawn. */
const goldenFraction = 0.618_033_988_749_894_9;

/** Distributes the requests of split routes over their services in proportion to the weights. */
export class TrafficSplitter {
	readonly #draw: () => number;
	readonly #positions = new Map<string, number>();

	/**
	 * @param draw - Returns a random number from 0 to below 1; each route starts at one, so that hosts differ.
	 */
	constructor(draw: () => number = Math.random) {
		this.#draw = draw;
	}

	/**
	 * Chooses the service of the next request of a route.
	 *
	 * @param route - A route with at least one target.
	 * @returns Name of the service.
	 */
	chooseService({name, targets}: Pick<PrefixRoute, 'name' | 'targets'>): string {
		const [first] = targets;
		if (targets.length === 1) {
			return first!.service;
		}

		const position = ((this.#positions.get(name) ?? this.#draw()) + goldenFraction) % 1;
		this.#positions.set(name, position);
		const total = targets.reduce((sum, {weight}) => sum + weight, 0);
		let reached = 0;
		for (const {service, weight} of targets) {
			reached += weight;
			if (position * total < reached) {
				return service;
			}
		}

		return first!.service;
	}
}
