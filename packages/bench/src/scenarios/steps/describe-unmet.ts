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
 * @param range - The allowed values.
 * @param describeDetails - Returns details to append to the text.
 * @returns Text with the found and the expected value, or `undefined` when the number is in the range.
 */
export function describeMismatch(subject: string, found: number, {exactly, atLeast, atMost}: Range, describeDetails = () => ''): string | undefined {
	const limits = [
		{name: 'exactly', limit: exactly, isMet: found === exactly},
		{name: 'at least', limit: atLeast, isMet: found >= (atLeast ?? -Infinity)},
		{name: 'at most', limit: atMost, isMet: found <= (atMost ?? Infinity)},
	].filter(({limit}) => limit !== undefined);
	if (limits.every(({isMet}) => isMet)) {
		return undefined;
	}

	return `${subject}: found ${found}, expected ${limits.map(({name, limit}) => `${name} ${limit}`).join(' and ')}${describeDetails()}`;
}
