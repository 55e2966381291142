import type {RandomSource} from '../load/random-source.js';
import {soakFaults, type SoakFault} from './soak-faults.js';

const firstFault = 800;
const shortestFault = 200;
const longestFault = 3500;

/** Pauses between two groups of faults, in milliseconds; the long ones let the bounds come into force in between. */
const shortestPause = 300;
const longestPause = 6500;

const faultsInGroup = 4;

/** Time in which the faults of a group begin, in milliseconds. */
const groupMilliseconds = 800;

/**
 * Draws groups of faults that overlap, with pauses between the groups.
 *
 * @param random - Depends on the seed only.
 * @param milliseconds - Time in which faults may begin.
 * @returns The faults in the order of their beginnings.
 */
export function planSoak(random: RandomSource, milliseconds: number): SoakFault[] {
	const kinds = Object.keys(soakFaults);
	const faults: SoakFault[] = [];
	for (let at = firstFault; at < milliseconds; at += random.drawBetween(shortestPause, longestPause)) {
		const count = 1 + random.drawIndex(faultsInGroup);
		for (let index = 0; index < count; index++) {
			faults.push({
				kind: kinds[random.drawIndex(kinds.length)]!,
				from: at + random.drawBetween(0, groupMilliseconds),
				milliseconds: random.drawBetween(shortestFault, longestFault),
				target: random.draw(),
				variant: random.draw(),
			});
		}
	}

	return faults.sort((left, right) => left.from - right.from);
}
