import {durationHeader, lengthHeader} from '@tanagerrail/stand-ins';
import type {Arrival} from './arrival.js';
import {RandomSource} from './random-source.js';

/** A kind of work in the load. */
export type WorkMix = {
	readonly kind: string;
	/** Share of the arrivals, between 0 and 1; the shares add up to 1. */
	readonly share: number;
	/** First segment of the target, which the routes match. */
	readonly path: string;
	/** Mean service time in milliseconds, exponentially distributed unless it is constant. */
	readonly meanMilliseconds: number;
	readonly isConstant?: boolean;
	/** Longest service time in milliseconds; the distribution is cut there. */
	readonly longestMilliseconds?: number;
	/** Length of the response body in bytes. */
	readonly bytes?: number;
};

/** A time of constant load. */
export type LoadPhase = {
	readonly milliseconds: number;
	/** Mean arrivals in one second. */
	readonly rate: number;
};

/** Options of {@link planArrivals}. */
export type LoadPlan = {
	readonly seed: number;
	/** Number of entry hosts over which the arrivals are spread at random. */
	readonly hosts: number;
	readonly phases: readonly LoadPhase[];
	readonly mix: readonly WorkMix[];
};

/**
 * Plans open-loop Poisson arrivals.
 *
 * @param plan - Seed, phases and kinds of work.
 * @returns The arrivals in order of time; the same plan gives the same arrivals.
 */
export function planArrivals({seed, hosts, phases, mix}: LoadPlan): Arrival[] {
	const random = new RandomSource(seed);
	const arrivals: Arrival[] = [];
	let phaseStart = 0;
	for (const {milliseconds, rate} of phases) {
		const phaseEnd = phaseStart + milliseconds;
		let at = phaseStart + random.drawExponential(1000 / rate);
		while (at < phaseEnd) {
			const work = pickWork(mix, random.draw());
			arrivals.push({
				at,
				kind: work.kind,
				host: random.drawIndex(hosts),
				method: 'GET',
				target: `/${work.path}/${seed}-${arrivals.length}`,
				headers: buildHeaders(work, random),
			});
			at += random.drawExponential(1000 / rate);
		}

		phaseStart = phaseEnd;
	}

	return arrivals;
}

function pickWork(mix: readonly WorkMix[], position: number): WorkMix {
	let sum = 0;
	for (const work of mix) {
		sum += work.share;
		if (position < sum) {
			return work;
		}
	}

	return mix.at(-1)!;
}

function buildHeaders({meanMilliseconds, isConstant = false, longestMilliseconds = Infinity, bytes}: WorkMix, random: RandomSource): Record<string, string> {
	const duration = isConstant ? meanMilliseconds : Math.min(random.drawExponential(meanMilliseconds), longestMilliseconds);
	return {
		[durationHeader]: duration.toFixed(2),
		...(bytes === undefined ? {} : {[lengthHeader]: String(bytes)}),
	};
}
