import {closest} from 'fastest-levenshtein';

/**
 * Finds the known name that is most like a given one.
 *
 * @param name - The given name.
 * @param known - Known names.
 * @returns The first that begins with the given name, otherwise the nearest by edit distance, or `none`.
 */
export function findNearestName(name: string, known: readonly string[]): string {
	return known.find(candidate => name !== '' && candidate.startsWith(name)) ?? (known.length === 0 ? 'none' : closest(name, known));
}
