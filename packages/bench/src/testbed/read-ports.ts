import type {ManagedProcess} from './managed-process.js';

/**
 * Reads the ports that a process writes as one line of JSON when it listens.
 *
 * @param child - The process.
 * @returns The ports.
 * @throws Error when the process ends first.
 */
export async function readPorts(child: ManagedProcess): Promise<number[]> {
	let text = '';
	for await (const chunk of child.output) {
		text += chunk;
		if (text.includes('\n')) {
			return JSON.parse(text.slice(0, text.indexOf('\n'))) as number[];
		}
	}

	throw new Error(`${child.name} ended before it listened; see ${child.logFile}`);
}
