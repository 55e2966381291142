import {
	isMap, isNode, isScalar, isSeq, LineCounter, parseDocument, type Document, type Node,
} from 'yaml';
import {formatHint, type AnswerProblem} from './answer-problem.js';

/** Path of a field in the document. */
export type FieldPath = ReadonlyArray<string | number>;

/** A parsed answers file that maps each field to its line. */
export class AnswerDocument {
	readonly #document: Document.Parsed;
	readonly #lines = new LineCounter();

	constructor(text: string) {
		this.#document = parseDocument(text, {lineCounter: this.#lines, prettyErrors: false});
	}

	/** Content as plain JavaScript values; only valid if there are no syntax errors. */
	get content(): unknown {
		return this.#document.toJS() as unknown;
	}

	/**
	 * Lists the syntax errors of the document.
	 *
	 * @returns One problem per error.
	 */
	listSyntaxProblems(): AnswerProblem[] {
		return this.#document.errors.map(({pos, code, message}) => ({
			rule: 'syntax', line: this.#lines.linePos(pos[0]).line, field: code, found: message, expected: 'valid YAML', hint: formatHint('syntax'),
		}));
	}

	/**
	 * Finds the line of a field, or of its closest existing parent if the field is missing.
	 *
	 * @param path - Path of the field.
	 * @returns Line number from 1.
	 */
	findLine(path: FieldPath): number {
		let node: unknown = this.#document.contents;
		let offset = isNode(node) ? node.range?.[0] : undefined;
		for (const step of path) {
			const found = findChild(node, step);
			if (!found) {
				break;
			}

			offset = found.position.range?.[0] ?? offset;
			node = found.value;
		}

		return this.#lines.linePos(offset ?? 0).line;
	}

	/**
	 * Describes the value of a field.
	 *
	 * @param path - Path of the field.
	 * @returns The value as JSON, a short description of a list or an object, or `nothing` if the field is missing.
	 */
	describe(path: FieldPath): string {
		let value = this.content;
		for (const step of path) {
			value = typeof value === 'object' && value !== null ? (value as Record<string | number, unknown>)[step] : undefined;
		}

		return describeValue(value);
	}
}

/**
 * Formats the path of a field.
 *
 * @param path - Path of the field.
 * @returns For example `services[0].name`; `answers` for the whole document.
 */
export function formatPath(path: FieldPath): string {
	const text = path.map(step => typeof step === 'number' ? `[${step}]` : `.${step}`).join('');
	return text.startsWith('.') ? text.slice(1) : text || 'answers';
}

function describeValue(value: unknown): string {
	if (value === undefined) {
		return 'nothing';
	}

	if (Array.isArray(value)) {
		return `a list of ${value.length}`;
	}

	return typeof value === 'object' && value !== null ? 'a group of fields' : JSON.stringify(value);
}

function findChild(node: unknown, step: string | number): {readonly position: Node; readonly value: unknown} | undefined {
	if (isMap(node)) {
		const pair = node.items.find(({key}) => isScalar(key) && key.value === step);
		return pair && isNode(pair.key) ? {position: pair.key, value: pair.value} : undefined;
	}

	const item = isSeq(node) && typeof step === 'number' ? node.items[step] : undefined;
	return isNode(item) ? {position: item, value: item} : undefined;
}
