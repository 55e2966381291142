import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers that depend on a seed only. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/**
	 * Draws from the uniform distribution.
	 *
	 * @returns A number from 0 (included) to 1 (excluded).
	 */
	draw(): number {
		return uniformFloat64(this.#generator);
	}

	/**
	 * Draws from the exponential distribution.
	 *
	 * @param mean - Mean of the distribution.
	 * @returns A number above or equal to 0.
	 */
	drawExponential(mean: number): number {
		return -mean * Math.log(1 - this.draw());
	}

	/**
	 * Draws an integer between two others.
	 *
	 * @param least - The least one, included.
	 * @param most - The greatest one, included.
	 * @returns The integer.
	 */
	drawBetween(least: number, most: number): number {
		return Math.round(least + (this.draw() * (most - least)));
	}

	/**
	 * Draws an integer.
	 *
	 * @param count - Number of possible values.
	 * @returns An integer from 0 (included) to `count` (excluded).
	 */
	drawIndex(count: number): number {
		return Math.floor(this.draw() * count);
	}
}
