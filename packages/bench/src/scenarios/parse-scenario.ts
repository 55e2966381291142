import {
	isMap, isNode, isScalar, isSeq, LineCounter, parseDocument, type Document, type Node,
} from 'yaml';
import {type z} from 'zod';
import {ScenarioError, type ScenarioPosition} from './scenario-error.js';
import {scenarioSchema, type ScenarioHeader} from './scenario-schema.js';
import {stepKinds, type StepKind} from './steps/index.js';

/** A validated step of a scenario. */
export type ScenarioStep = {
	readonly kind: StepKind;
	/** Input of the step's handler. */
	readonly value: unknown;
	readonly position: ScenarioPosition;
};

/** A validated scenario file. */
export type Scenario = ScenarioHeader & {readonly file: string; readonly steps: readonly ScenarioStep[]};

type Source = {readonly file: string; readonly document: Document; readonly lines: LineCounter};

/**
 * Parses a scenario file and validates every step; docs/scenarios.md describes the format.
 *
 * @param text - YAML.
 * @param file - File name for error messages.
 * @returns The scenario.
 * @throws ScenarioError `scenario-invalid` with file and line of the first error.
 */
export function parseScenario(text: string, file: string): Scenario {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	const source = {file, document, lines};
	const [syntaxError] = document.errors;
	if (syntaxError) {
		throw new ScenarioError('scenario-invalid', {file, line: lines.linePos(syntaxError.pos[0]).line}, syntaxError.message);
	}

	const {steps, ...header} = (document.toJS() ?? {}) as Record<string, unknown>;
	const validated = validateValue(scenarioSchema, header, source, []);
	if (!Array.isArray(steps) || steps.length === 0) {
		throw new ScenarioError('scenario-invalid', findPosition(source, ['steps']), 'steps: expected a list with at least one step');
	}

	return {...validated, file, steps: steps.map((_, i) => parseStep(source, i))};
}

function parseStep(source: Source, index: number): ScenarioStep {
	const path = ['steps', index];
	const node = source.document.getIn(path, true);
	const position = findPosition(source, path);
	const [pair] = isMap(node) ? node.items : [];
	if (!isMap(node) || node.items.length !== 1 || !pair || !isScalar(pair.key)) {
		throw new ScenarioError('scenario-invalid', position, `steps.${index}: expected one step name with its value`);
	}

	const kind = String(pair.key.value);
	if (!Object.hasOwn(stepKinds, kind)) {
		throw new ScenarioError('scenario-invalid', position, `steps.${index}: found ${kind}, expected one of ${Object.keys(stepKinds).join(', ')}`);
	}

	const value = isNode(pair.value) ? pair.value.toJS(source.document) as unknown : pair.value;
	const {schema} = stepKinds[kind as StepKind];
	return {kind: kind as StepKind, position, value: validateValue(schema, value, source, [...path, kind])};
}

function validateValue<T>(schema: z.ZodType<T>, value: unknown, source: Source, path: ReadonlyArray<string | number>): T {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	const issue = parsed.error.issues[0]!;
	const fullPath = [...path, ...issue.path.map(part => typeof part === 'number' ? part : String(part))];
	const unknownField = issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
	const errorPath = unknownField === undefined ? fullPath : [...fullPath, unknownField];
	throw new ScenarioError('scenario-invalid', findPosition(source, errorPath), `${errorPath.join('.') || 'the file'}: ${issue.message}`);
}

/** Finds the line of the deepest existing node on a path. */
function findPosition({file, document, lines}: Source, path: ReadonlyArray<string | number>): ScenarioPosition {
	let node: unknown = document.contents;
	let offset = isNode(node) ? node.range?.[0] ?? 0 : 0;
	for (const part of path) {
		const found = findChild(node, part);
		if (!found) {
			break;
		}

		offset = found.key?.range?.[0] ?? found.value?.range?.[0] ?? offset;
		node = found.value;
	}

	return {file, line: lines.linePos(offset).line};
}

function findChild(node: unknown, part: string | number): {key?: Node; value?: Node} | undefined {
	if (isSeq(node)) {
		const value = node.items[Number(part)];
		return isNode(value) ? {value} : undefined;
	}

	const pair = isMap(node) ? node.items.find(({key}) => isScalar(key) && key.value === part) : undefined;
	return pair && {key: isNode(pair.key) ? pair.key : undefined, value: isNode(pair.value) ? pair.value : undefined};
}
