import path from 'node:path';

const packagesDirectory = path.resolve(import.meta.dirname, '../../../..');

/**
 * Loads a module that its package does not export.
 *
 * @param file - Path below the packages directory.
 * @returns Its exports.
 */
export async function loadModule<T>(file: string): Promise<T> {
	return await import(path.join(packagesDirectory, file)) as T;
}

/** Runs the unmodified `tanagerrail` program with the arguments of this process. */
export async function runEntry(): Promise<void> {
	await loadModule('cli/dist/src/main.js');
}
