import t from 'tap';
import {runScenario} from '../../src/scenarios/run-scenario.js';
import {
	getFailedLogDirectory, listScenarios, readScenario, scenarioGroups,
} from './scenario-files.js';

/**
 * Runs each scenario of a group as a test. The field `proves` of a scenario lists the promises and failures that it covers; an
 * error message contains the line of the failed step.
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
