import path from 'node:path';
import t from 'tap';
import {runScenario} from '../../src/scenarios/run-scenario.js';
import {readScenario} from './scenario-files.js';

/** A scenario that must fail with a given reason when the hosts run a variant without a mechanism. */
export type WithoutMechanism = {readonly variant: string; readonly scenario: string; readonly reason: RegExp};

const variants = path.resolve(import.meta.dirname, '../variants');

/**
 * Guards against scenarios that pass even though the mechanism that they test is disabled.
 *
 * @param rows - Variants and scenarios; each becomes a test.
 */
export function runWithoutMechanism(rows: readonly WithoutMechanism[]): void {
	for (const {variant, scenario, reason} of rows) {
		t.test(`${scenario} fails ${variant}`, async t => {
			await t.rejects(runScenario(readScenario(scenario), {entryScript: path.join(variants, `${variant}.js`)}), {message: reason});
		});
	}
}
