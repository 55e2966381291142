import fs from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {
	isMap, isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import type {z} from 'zod';
import {findNearestName, type Configuration} from '@tanagerrail/configuration';
import {TlsFiles} from '@tanagerrail/http';
import {createFailure, type Failure} from '@tanagerrail/results';
import {describeExpected, findSchemaNode} from './settings-fields.js';
import {settingsSchema, type Settings} from './settings.js';

/** Validated settings with the contents of their initial configuration file. */
export type LoadedSettings = {readonly settings: Settings; readonly configuration: Configuration | undefined};

/** A parsed settings file, used to find the line of a field. */
type SettingsSource = {readonly file: string; readonly document: Document; readonly lines: LineCounter};

/** Sections whose values are never shown in messages. */
const secretSections = new Set<PropertyKey>(['keys', 'credentials']);

/**
 * Loads and validates a settings file.
 *
 * @param file - Path of the YAML file.
 * @returns The settings, or all failures at once: `settings-unreadable`, `settings-invalid`, `settings-unknown-field`,
 * `tls-unusable`.
 */
export function loadSettings(file: string): Result<LoadedSettings, Failure[]> {
	return readText(file).andThen(text => parseSettings(file, text));
}

function readText(file: string): Result<string, Failure[]> {
	try {
		return ok(fs.readFileSync(file, 'utf8'));
	} catch (error) {
		return err([createFailure('settings-unreadable', {file, reason: (error as NodeJS.ErrnoException).code ?? 'unknown'})]);
	}
}

function parseSettings(file: string, text: string): Result<LoadedSettings, Failure[]> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	if (document.errors.length > 0) {
		return err(document.errors.map(({pos, code}) => createFailure('settings-invalid', {
			file, line: lines.linePos(pos[0]).line, field: 'document', found: code.toLowerCase().replaceAll('_', ' '), expected: 'valid YAML',
		})));
	}

	const source: SettingsSource = {file, document, lines};
	const parsed = settingsSchema.safeParse(convertDocument(document));
	if (!parsed.success) {
		return err(parsed.error.issues.flatMap(issue => describeIssue(issue, source)));
	}

	return loadConfiguration(parsed.data, source).andThen(configuration => {
		const failures = [...checkShutdown(parsed.data, configuration, source), ...checkTls(parsed.data)];
		return failures.length > 0 ? err(failures) : ok({settings: parsed.data, configuration});
	});
}

function convertDocument(document: Document): unknown {
	try {
		return document.toJS({maxAliasCount: 100});
	} catch {
		return undefined;
	}
}

function describeIssue(issue: z.core.$ZodIssue, source: SettingsSource): Failure[] {
	const {file} = source;
	if (issue.code === 'unrecognized_keys') {
		const known = Object.keys(findSchemaNode(issue.path)?.properties ?? {});
		return issue.keys.map(key => createFailure('settings-unknown-field', {
			file, line: findLine([...issue.path, key], source), field: formatPath([...issue.path, key]), nearest: findNearestName(key, known),
		}));
	}

	const node = findSchemaNode(issue.path);
	return [createFailure('settings-invalid', {
		file, line: findLine(issue.path, source), field: formatPath(issue.path), found: describeValue(issue.path, source), expected: node ? describeExpected(node) : issue.message,
	})];
}

/** Checks that the shutdown time covers the longest work class of the initial configuration. */
function checkShutdown({shutdown}: Settings, configuration: Configuration | undefined, source: SettingsSource): Failure[] {
	const longest = Math.max(0, ...(configuration?.services ?? []).flatMap(({workClasses}) => workClasses.map(({longestMilliseconds}) => longestMilliseconds)));
	const path = ['shutdown', 'shutdownMilliseconds'];
	return shutdown.shutdownMilliseconds >= longest
		? []
		: [createFailure('settings-invalid', {
			file: source.file,
			line: findLine(path, source),
			field: formatPath(path),
			found: shutdown.shutdownMilliseconds,
			expected: `at least ${longest}, the longest duration of any work class`,
		})];
}

function checkTls({listen}: Settings): Failure[] {
	return [listen.callers.tls, listen.peers.tls]
		.filter(tls => tls !== undefined)
		.flatMap(tls => new TlsFiles(tls).read().match<Failure[]>(() => [], failure => [failure]));
}

function loadConfiguration({initialConfigurationFile: file}: Settings, source: SettingsSource): Result<Configuration | undefined, Failure[]> {
	if (file === undefined) {
		return ok(undefined);
	}

	return readText(file).andThen(text => {
		try {
			return ok(JSON.parse(text) as Configuration);
		} catch {
			return err([createFailure('settings-invalid', {
				file: source.file, line: findLine(['initialConfigurationFile'], source), field: 'initialConfigurationFile', found: `a file that is not JSON (${file})`, expected: 'a JSON file',
			})]);
		}
	});
}

function formatPath(path: readonly PropertyKey[]): string {
	return path.length === 0 ? 'document' : path.map(String).join('.');
}

/** Finds the line of a field, or of the innermost enclosing section when the field is missing. */
function findLine(path: readonly PropertyKey[], {document, lines}: SettingsSource): number {
	for (let {length} = path; length > 0; length--) {
		const parent = document.getIn(path.slice(0, length - 1), true) ?? document.contents;
		const pair = isMap(parent) ? parent.items.find(({key}) => String(key) === String(path[length - 1])) : undefined;
		const node = pair ? pair.key : document.getIn(path.slice(0, length), true);
		if (isNode(node) && node.range) {
			return lines.linePos(node.range[0]).line;
		}
	}

	return 1;
}

function describeValue(path: readonly PropertyKey[], {document}: SettingsSource): string {
	const value: unknown = path.length === 0 ? convertDocument(document) : document.getIn(path);
	if (value === undefined) {
		return 'nothing';
	}

	if (path.some(name => secretSections.has(name))) {
		return typeof value === 'string' ? `a string of ${value.length} characters` : 'a value of another type';
	}

	return typeof value === 'object' && value !== null ? 'a section or list' : JSON.stringify(value);
}
