import fs from 'node:fs';
import path from 'node:path';
import {parseScenario, type Scenario} from '../../src/scenarios/parse-scenario.js';

const directory = path.resolve(import.meta.dirname, '../../../../../scenarios');

/**
 * Reads a scenario of the repository.
 *
 * @param name - File name without its extension.
 * @returns The scenario.
 */
export function readScenario(name: string): Scenario {
	return parseScenario(fs.readFileSync(path.join(directory, `${name}.yaml`), 'utf8'), `scenarios/${name}.yaml`);
}

/**
 * Gets the directory to which the logs of a failed scenario are copied.
 *
 * @param name - File name of the scenario without its extension.
 * @returns The directory.
 */
export function getFailedLogDirectory(name: string): string {
	return path.resolve(directory, '../build/scenario-logs', name);
}

/**
 * Lists the scenarios of the repository.
 *
 * @returns File names without their extension.
 */
export function listScenarios(): string[] {
	return fs.readdirSync(directory).filter(file => file.endsWith('.yaml')).map(file => path.basename(file, '.yaml')).sort();
}

/** Groups of scenarios, by prefix of the file name; each group runs in its own test file. */
export const scenarioGroups = {
	allocators: /^(?:allocator|answers)-/v,
	connections: /^(?:connections|response)-/v,
	endpoints: /^endpoint-/v,
	hosts: /^(?:graceful|host|links|measuring)-/v,
	payments: /^(?:claim|payment)-/v,
	platform: /^(?:objects|table)-/v,
} as const;
