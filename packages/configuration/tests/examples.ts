import fs from 'node:fs';

/** Reads an example that ships with the product. */
export function readExample(name: 'vihmavesi' | 'consejo'): string {
	return fs.readFileSync(new URL(`../../../../examples/${name}.yaml`, import.meta.url), 'utf8');
}

/** Replaces one text of an example; the text must be there. */
export function formatEdited(text: string, from: string, to: string): string {
	if (!text.includes(from)) {
		throw new Error(`${from} is not in the example`);
	}

	return text.replace(from, to);
}
