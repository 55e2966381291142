import type {FieldPath} from './answer-document.js';
import type {AnswerRule} from './answer-problem.js';

/** Two answers that cannot both hold. */
export type Contradiction = {
	readonly rule: AnswerRule;
	readonly path: FieldPath;
	readonly expected: string;
	readonly parameters?: Readonly<Record<string, string | number>>;
};

/**
 * Finds names that occur more than once.
 *
 * @param entries - Names with the path of each.
 * @param rule - Rule that is broken by a repetition.
 * @returns One contradiction for each repetition.
 */
export function findRepeated(entries: ReadonlyArray<{readonly name: string; readonly path: FieldPath}>, rule: AnswerRule): Contradiction[] {
	const seen = new Set<string>();
	return entries.flatMap(({name, path}) => {
		const isRepeated = seen.has(name);
		seen.add(name);
		return isRepeated ? [{rule, path, expected: `${name} only once`}] : [];
	});
}
