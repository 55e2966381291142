import t from 'tap';
import {runScenario} from '../../src/scenarios/run-scenario.js';
import {
	getFailedLogDirectory, listScenarios, readScenario, scenarioGroups,
} from './scenario-files.js';

/**
 * Runs the scenarios of a group, one test each. Each file says which promise or failure it is about; an error names the line
 * of the step that did not hold.
 *
 * @param group - The group.
 */
export function runGroup(group: keyof typeof scenarioGroups): void {
	for (const name of listScenarios().filter(file => scenarioGroups[group].test(file))) {
		t.test(name, async () => {
			await runScenario(readScenario(name), {logDirectory: getFailedLogDirectory(name)});
		});
	}
}
