import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {AnswerDocument, formatPath, type FieldPath} from './answer-document.js';
import {formatHint, type AnswerProblem, type AnswerRule} from './answer-problem.js';
import {
	answersSchema, serviceAnswersSchema, type Answers, type ServiceAnswers,
} from './answers.js';
import type {Contradiction} from './contradiction.js';
import {findNearestName} from './find-nearest-name.js';
import {findContradictions, type HostLimits} from './find-contradictions.js';

type Issue = z.core.$ZodIssue;
type Described = {readonly rule: AnswerRule; readonly path: FieldPath; readonly expected: string; readonly nearest?: string};

/**
 * Parses and checks an answers file. All mistakes are found at once: those of the schema, and the contradictions within
 * every service whose fields are valid.
 *
 * @param text - The file's content (YAML).
 * @param limits - What the hosts allow, if it is known.
 * @returns The answers with defaults filled in, or every problem in the order of lines.
 */
export function parseAnswers(text: string, limits?: HostLimits): Result<Answers, AnswerProblem[]> {
	const document = new AnswerDocument(text);
	const syntaxProblems = document.listSyntaxProblems();
	if (syntaxProblems.length > 0) {
		return err(syntaxProblems);
	}

	const {content} = document;
	const parsed = answersSchema.safeParse(content);
	const issues = parsed.success ? [] : parsed.error.issues.flatMap(issue => describeIssue(issue, content));
	const contradictions = findContradictions(parsed.data ?? readValidParts(content), limits);
	const problems = [
		...issues.map(issue => createIssueProblem(issue, document)),
		...contradictions.map(contradiction => createContradictionProblem(contradiction, document)),
	];
	problems.sort((left, right) => left.line - right.line);
	return parsed.success && problems.length === 0 ? ok(parsed.data) : err(problems);
}

/** Takes the top-level fields and services that are valid on their own, so that their contradictions are found too. */
function readValidParts(content: unknown): Partial<Omit<Answers, 'services'>> & {services: Array<ServiceAnswers | undefined>} {
	const raw = (typeof content === 'object' && content !== null ? content : {}) as Record<string, unknown>;
	const parts: Record<string, unknown> = {};
	for (const [field, schema] of Object.entries(answersSchema.shape)) {
		const part = schema.safeParse(raw[field]);
		if (part.success) {
			parts[field] = part.data;
		}
	}

	const services = Array.isArray(raw.services) ? raw.services : [];
	return {...parts, services: services.map(service => serviceAnswersSchema.safeParse(service).data)};
}

function createIssueProblem({rule, path, expected, nearest}: Described, document: AnswerDocument): AnswerProblem {
	return {
		rule, line: document.findLine(path), field: formatPath(path), found: document.describe(path), expected, hint: formatHint(rule, {nearest: nearest ?? 'none'}),
	};
}

function createContradictionProblem({rule, path, expected, parameters}: Contradiction, document: AnswerDocument): AnswerProblem {
	return {
		rule, line: document.findLine(path), field: formatPath(path), found: document.describe(path), expected, hint: formatHint(rule, parameters),
	};
}

const issueDescribers: {readonly [C in Issue['code']]?: (issue: Extract<Issue, {code: C}>, path: FieldPath, found: unknown) => Described[]} = {
	unrecognized_keys({keys}, path) {
		const known = listKnownNames(path);
		return keys.map(key => ({
			rule: 'unknown', path: [...path, key], expected: `one of ${known.join(', ')}`, nearest: findNearestName(key, known),
		}));
	},
	invalid_value({values}, path, found) {
		const names = values.map(String);
		const expected = `one of ${names.join(', ')}`;
		return [found === undefined
			? {rule: 'missing', path, expected}
			: {
				rule: 'choice', path, expected, nearest: findNearestName(typeof found === 'string' ? found : JSON.stringify(found), names),
			}];
	},
	too_small({inclusive, minimum, origin}, path) {
		return [{rule: 'range', path, expected: `${inclusive ? 'at least' : 'more than'} ${minimum}${unitNames[origin] ?? ''}`}];
	},
	too_big({inclusive, maximum, origin}, path) {
		return [{rule: 'range', path, expected: `${inclusive ? 'at most' : 'less than'} ${maximum}${unitNames[origin] ?? ''}`}];
	},
	invalid_type({expected}, path, found) {
		return [{rule: found === undefined ? 'missing' : 'type', path, expected: typeNames[expected] ?? expected}];
	},
	invalid_format({message}, path) {
		return [{rule: 'pattern', path, expected: message}];
	},
};

function describeIssue(issue: Issue, content: unknown): Described[] {
	const path = issue.path as FieldPath;
	const describe = issueDescribers[issue.code] as ((issue: Issue, path: FieldPath, found: unknown) => Described[]) | undefined;
	return describe?.(issue, path, readValue(content, path)) ?? [{rule: 'pattern', path, expected: issue.message}];
}

const unitNames: Readonly<Record<string, string>> = {array: ' entry', string: ' character'};

const typeNames: Readonly<Record<string, string>> = {
	array: 'a list', boolean: 'true or false', int: 'a whole number', number: 'a number', object: 'a group of fields', string: 'a text',
};

function readValue(content: unknown, path: FieldPath): unknown {
	return path.reduce<unknown>((value, step) => (value as Record<string | number, unknown> | undefined)?.[step], content);
}

/** Reads the field names that the schema knows at a path. */
function listKnownNames(path: FieldPath): string[] {
	let schema: unknown = answersSchema;
	for (const step of path) {
		schema = getInner(schema);
		schema = typeof step === 'number' ? (schema as z.ZodArray).element : (schema as z.ZodObject).shape[step];
	}

	return Object.keys((getInner(schema) as z.ZodObject).shape);
}

function getInner(schema: unknown): unknown {
	const {def} = schema as {def: {innerType?: unknown}};
	return def.innerType === undefined ? schema : getInner(def.innerType);
}
