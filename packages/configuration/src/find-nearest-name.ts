import {closest} from 'fastest-levenshtein';

/**
 * Finds the known name closest to a given one, for suggestions in error messages.
 *
 * @param name - The name to match.
 * @param known - The known names.
 * @returns The first known name that starts with the given one, otherwise the one with the smallest edit distance; `none`
 * when there are no known names.
 */
export function findNearestName(name: string, known: readonly string[]): string {
	return known.find(candidate => name !== '' && candidate.startsWith(name)) ?? (known.length === 0 ? 'none' : closest(name, known));
}
