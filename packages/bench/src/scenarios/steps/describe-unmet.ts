import {z} from 'zod';

/** Fields of a condition on a number. */
export const rangeFields = {
	exactly: z.number().optional(), atLeast: z.number().optional(), atMost: z.number().optional(),
};

/** Allowed values of a number. */
export type Range = {readonly exactly?: number; readonly atLeast?: number; readonly atMost?: number};

/**
 * Compares a number with a range.
 *
 * @param subject - What the number counts.
 * @param found - The number.
 * @param range - What is allowed.
 * @param describe - Adds what helps to find the cause.
 * @returns Text with the value found and the value expected, or nothing when it is in the range.
 */
export function describeUnmet(subject: string, found: number, {exactly, atLeast, atMost}: Range, describe = () => ''): string | undefined {
	const limits = [
		{name: 'exactly', limit: exactly, holds: found === exactly},
		{name: 'at least', limit: atLeast, holds: found >= (atLeast ?? -Infinity)},
		{name: 'at most', limit: atMost, holds: found <= (atMost ?? Infinity)},
	].filter(({limit}) => limit !== undefined);
	if (limits.every(({holds}) => holds)) {
		return undefined;
	}

	return `${subject}: found ${found}, expected ${limits.map(({name, limit}) => `${name} ${limit}`).join(' and ')}${describe()}`;
}
