import type {ManagedProcess} from './managed-process.js';

/**
 * Reads the ports that a process writes to standard output as one line of JSON when it starts listening.
 *
 * @param child - The process.
 * @returns The ports.
 * @throws Error when the process exits first.
 */
export async function readPorts(child: ManagedProcess): Promise<number[]> {
	let text = '';
	for await (const chunk of child.output) {
		text += chunk;
		if (text.includes('\n')) {
			return JSON.parse(text.slice(0, text.indexOf('\n'))) as number[];
		}
	}

	throw new Error(`${child.name} exited before it was listening; see ${child.logFile}`);
}
