import fs from 'node:fs';

/** Reads one of the example answers files in examples/. */
export function readExample(name: 'vihmavesi' | 'consejo'): string {
	return fs.readFileSync(new URL(`../../../../examples/${name}.yaml`, import.meta.url), 'utf8');
}

/** Replaces a text in an example; throws if the text does not occur. */
export function updateExampleText(text: string, from: string, to: string): string {
	if (!text.includes(from)) {
		throw new Error(`the example does not contain "${from}"`);
	}

	return text.replace(from, to);
}
