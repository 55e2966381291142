import {durationHeader, lengthHeader} from '@tanagerrail/stand-ins';
import type {Arrival} from './arrival.js';
import {RandomSource} from './random-source.js';

/** A kind of work in the load. */
export type WorkKind = {
	readonly kind: string;
	/** Share of the arrivals, between 0 and 1; the shares add up to 1. */
	readonly share: number;
	/** First segment of the target, which the routes match. */
	readonly path: string;
	/** Mean service time in milliseconds, exponentially distributed unless it is constant. */
	readonly meanMilliseconds: number;
	readonly isConstant?: boolean;
	/** Maximum service time in milliseconds; longer ones are reduced to it. */
	readonly longestMilliseconds?: number;
	/** Length of the response body in bytes. */
	readonly bytes?: number;
};

/** A period with a constant mean rate of arrivals. */
export type LoadPhase = {
	readonly milliseconds: number;
	/** Mean number of arrivals per second. */
	readonly rate: number;
};

/** Options of {@link planArrivals}. */
export type LoadPlan = {
	readonly seed: number;
	/** Number of entry hosts over which the arrivals are spread at random. */
	readonly hosts: number;
	readonly phases: readonly LoadPhase[];
	readonly mix: readonly WorkKind[];
};

/**
 * Plans open-loop Poisson arrivals.
 *
 * @param plan - Seed, phases and kinds of work.
 * @returns The arrivals, ordered by time; the same plan always gives the same arrivals.
 */
export function planArrivals({seed, hosts, phases, mix}: LoadPlan): Arrival[] {
	const random = new RandomSource(seed);
	const arrivals: Arrival[] = [];
	let phaseStart = 0;
	for (const {milliseconds, rate} of phases) {
		const phaseEnd = phaseStart + milliseconds;
		let at = phaseStart + random.drawExponential(1000 / rate);
		while (at < phaseEnd) {
			const work = pickWorkKind(mix, random.draw());
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

function pickWorkKind(mix: readonly WorkKind[], position: number): WorkKind {
	let sum = 0;
	for (const work of mix) {
		sum += work.share;
		if (position < sum) {
			return work;
		}
	}

	return mix.at(-1)!;
}

function buildHeaders({meanMilliseconds, isConstant = false, longestMilliseconds = Infinity, bytes}: WorkKind, random: RandomSource): Record<string, string> {
	const duration = isConstant ? meanMilliseconds : Math.min(random.drawExponential(meanMilliseconds), longestMilliseconds);
	return {
		[durationHeader]: duration.toFixed(2),
		...(bytes === undefined ? {} : {[lengthHeader]: String(bytes)}),
	};
}
