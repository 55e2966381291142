import type {FieldPath} from './answer-document.js';
import type {AnswerRule} from './answer-problem.js';

/** A conflict between answers that are valid on their own. */
export type Contradiction = {
	readonly rule: AnswerRule;
	readonly path: FieldPath;
	readonly expected: string;
	readonly parameters?: Readonly<Record<string, string | number>>;
};

/**
 * Finds duplicate names.
 *
 * @param entries - Names with the path of each.
 * @param rule - Rule that a duplicate violates.
 * @returns One contradiction for each occurrence after the first.
 */
export function findDuplicateNames(entries: ReadonlyArray<{readonly name: string; readonly path: FieldPath}>, rule: AnswerRule): Contradiction[] {
	const seen = new Set<string>();
	return entries.flatMap(({name, path}) => {
		const isDuplicate = seen.has(name);
		seen.add(name);
		return isDuplicate ? [{rule, path, expected: `${name} only once`}] : [];
	});
}
