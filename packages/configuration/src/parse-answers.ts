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
type DescribedIssue = {readonly rule: AnswerRule; readonly path: FieldPath; readonly expected: string; readonly nearest?: string};

/**
 * Parses and validates an answers file. All errors are reported at once: violations of the schema, and contradictions
 * between the parts that are valid.
 *
 * @param text - Content of the file (YAML).
 * @param limits - Limits of the hosts, if known.
 * @returns The answers with defaults filled in, or all problems sorted by line.
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

/** Reads the top-level fields and services that are valid on their own, so that contradictions between them are reported too. */
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

function createIssueProblem({rule, path, expected, nearest}: DescribedIssue, document: AnswerDocument): AnswerProblem {
	return {
		rule, line: document.findLine(path), field: formatPath(path), found: document.describe(path), expected, hint: formatHint(rule, {nearest: nearest ?? 'none'}),
	};
}

function createContradictionProblem({rule, path, expected, parameters}: Contradiction, document: AnswerDocument): AnswerProblem {
	return {
		rule, line: document.findLine(path), field: formatPath(path), found: document.describe(path), expected, hint: formatHint(rule, parameters),
	};
}

const issueDescribers: {readonly [C in Issue['code']]?: (issue: Extract<Issue, {code: C}>, path: FieldPath, found: unknown) => DescribedIssue[]} = {
	unrecognized_keys({keys}, path) {
		const known = listKnownFields(path);
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
		return [{rule: 'range', path, expected: `${inclusive ? 'at least' : 'more than'} ${minimum}${unitSuffixes[origin] ?? ''}`}];
	},
	too_big({inclusive, maximum, origin}, path) {
		return [{rule: 'range', path, expected: `${inclusive ? 'at most' : 'less than'} ${maximum}${unitSuffixes[origin] ?? ''}`}];
	},
	invalid_type({expected}, path, found) {
		return [{rule: found === undefined ? 'missing' : 'type', path, expected: typeNames[expected] ?? expected}];
	},
	invalid_format({message}, path) {
		return [{rule: 'pattern', path, expected: message}];
	},
};

function describeIssue(issue: Issue, content: unknown): DescribedIssue[] {
	const path = issue.path as FieldPath;
	const describe = issueDescribers[issue.code] as ((issue: Issue, path: FieldPath, found: unknown) => DescribedIssue[]) | undefined;
	return describe?.(issue, path, readValue(content, path)) ?? [{rule: 'pattern', path, expected: issue.message}];
}

const unitSuffixes: Readonly<Record<string, string>> = {array: ' entry', string: ' character'};

const typeNames: Readonly<Record<string, string>> = {
	array: 'a list', boolean: 'true or false', int: 'a whole number', number: 'a number', object: 'a group of fields', string: 'a text',
};

function readValue(content: unknown, path: FieldPath): unknown {
	return path.reduce<unknown>((value, step) => (value as Record<string | number, unknown> | undefined)?.[step], content);
}

/** Lists the field names that the schema allows at a path. */
function listKnownFields(path: FieldPath): string[] {
	let schema: unknown = answersSchema;
	for (const step of path) {
		schema = getInnerSchema(schema);
		schema = typeof step === 'number' ? (schema as z.ZodArray).element : (schema as z.ZodObject).shape[step];
	}

	return Object.keys((getInnerSchema(schema) as z.ZodObject).shape);
}

function getInnerSchema(schema: unknown): unknown {
	const {def} = schema as {def: {innerType?: unknown}};
	return def.innerType === undefined ? schema : getInnerSchema(def.innerType);
}
