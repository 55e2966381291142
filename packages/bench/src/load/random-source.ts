import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Pseudorandom number generator whose output depends only on its seed. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/**
	 * Draws from the uniform distribution.
	 *
	 * @returns A number from 0 (inclusive) to 1 (exclusive).
	 */
	draw(): number {
		return uniformFloat64(this.#generator);
	}

	/**
	 * Draws from the exponential distribution.
	 *
	 * @param mean - Mean of the distribution.
	 * @returns A number greater than or equal to 0.
	 */
	drawExponential(mean: number): number {
		return -mean * Math.log(1 - this.draw());
	}

	/**
	 * Draws an integer from a range. The two limits are half as likely as the other values.
	 *
	 * @param least - Lower limit, inclusive.
	 * @param most - Upper limit, inclusive.
	 * @returns The integer.
	 */
	drawBetween(least: number, most: number): number {
		return Math.round(least + (this.draw() * (most - least)));
	}

	/**
	 * Draws an index from the uniform distribution.
	 *
	 * @param count - Number of possible values.
	 * @returns An integer from 0 (inclusive) to `count` (exclusive).
	 */
	drawIndex(count: number): number {
		return Math.floor(this.draw() * count);
	}
}
