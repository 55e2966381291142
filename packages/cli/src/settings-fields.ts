import {z} from 'zod';
import {edgeSettingsSchema} from './edge-settings.js';
import {settingsSchema} from './settings.js';

/** The subset of JSON Schema that the settings schemas use. */
export type SchemaNode = {
	readonly type?: string;
	readonly format?: string;
	readonly description?: string;
	readonly unit?: string;
	readonly default?: unknown;
	readonly minimum?: number;
	readonly maximum?: number;
	readonly minLength?: number;
	readonly minItems?: number;
	readonly maxItems?: number;
	readonly items?: SchemaNode;
	readonly properties?: Readonly<Record<string, SchemaNode>>;
	readonly required?: readonly string[];
};

/** JSON schema of the settings of an entry host. */
export const settingsJsonSchema = z.toJSONSchema(settingsSchema, {io: 'input'}) as SchemaNode;

/** JSON schema of the settings of an edge host. */
export const edgeSettingsJsonSchema = z.toJSONSchema(edgeSettingsSchema, {io: 'input'}) as SchemaNode;

/** One field of the settings file. */
export type SettingsField = {
	/** Dotted path. */
	readonly path: string;
	/** Description of the accepted values. */
	readonly expected: string;
	readonly unit: string;
	/** The default as JSON in backticks, `required`, or `none`. */
	readonly defaultValue: string;
	readonly meaning: string;
};

const typeDescriptions: Readonly<Record<string, (node: SchemaNode) => string>> = {
	object: ({properties}) => `a section with ${Object.keys(properties ?? {}).join(', ')}`,
	array: ({minItems, maxItems, items}) => `a list of ${minItems ?? 0} to ${maxItems ?? 'any number of'} items, each ${describeExpected(items ?? {})}`,
	string: ({format, minLength}) => format === 'uri' ? 'a URL' : (minLength === undefined ? 'a string' : `a string of at least ${minLength} character${minLength === 1 ? '' : 's'}`),
	number: ({minimum}) => `a number from ${minimum ?? 'any'}`,
	integer: ({minimum, maximum}) => `an integer from ${minimum ?? 'any'} to ${maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? 'any' : maximum}`,
};

/**
 * Describes the values that a field accepts.
 *
 * @param node - The field's schema.
 * @returns A phrase such as `an integer from 0 to 65535`.
 */
export function describeExpected(node: SchemaNode): string {
	return typeDescriptions[node.type ?? '']?.(node) ?? 'a value';
}

/**
 * Finds the schema of a field in the settings of an entry host.
 *
 * @param path - Names and list indexes from the root.
 * @returns The schema, or `undefined` for an unknown field.
 */
export function findSchemaNode(path: readonly PropertyKey[]): SchemaNode | undefined {
	let node: SchemaNode | undefined = settingsJsonSchema;
	for (const key of path) {
		node = typeof key === 'number' ? node?.items : node?.properties?.[String(key)];
	}

	return node;
}

/**
 * Lists all fields of a settings file that hold a value, and the sections that have a description.
 *
 * @param schema - Schema of the file; by default that of an entry host.
 * @returns Fields in schema order.
 */
export function listSettingsFields(schema: SchemaNode = settingsJsonSchema): SettingsField[] {
	return listFields(schema, '', true);
}

function listFields(node: SchemaNode, path: string, isRequired: boolean): SettingsField[] {
	if (node.properties) {
		const section = node.description === undefined ? [] : [describeField(node, path, isRequired)];
		return [...section, ...Object.entries(node.properties).flatMap(([name, child]) => listFields(child, path === '' ? name : `${path}.${name}`, node.required?.includes(name) ?? false))];
	}

	return [describeField(node, path, isRequired)];
}

function describeField(node: SchemaNode, path: string, isRequired: boolean): SettingsField {
	return {
		path,
		expected: describeExpected(node),
		unit: node.unit ?? '-',
		defaultValue: node.default === undefined ? (isRequired ? 'required' : 'none') : `\`${JSON.stringify(node.default)}\``,
		meaning: node.description ?? '',
	};
}

/**
 * Formats a field as a table row of docs/settings.md.
 *
 * @param field - The field.
 * @returns One line of a Markdown table.
 */
export function formatFieldRow({path, expected, unit, defaultValue, meaning}: SettingsField): string {
	return `| \`${path}\` | ${expected} | ${unit} | ${defaultValue} | ${meaning} |`;
}
