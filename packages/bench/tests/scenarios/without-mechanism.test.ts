import path from 'node:path';
import t from 'tap';
import {runScenario} from '../../src/scenarios/run-scenario.js';
import {readScenario} from './scenario-files.js';

const variants = path.resolve(import.meta.dirname, '../variants');

// Each row guards against a scenario that would pass although the mechanism it is about does nothing.
const rows = [
	{variant: 'without-complete-responses', scenario: 'response-cut', reason: /responses: found 3, expected exactly 0/v},
	{variant: 'without-unknown-outcome', scenario: 'payment-endpoint-crashes', reason: /responses: found 0, expected exactly 1|not-run-ran/v},
	{variant: 'without-claim-conditions', scenario: 'claim-runs-once', reason: /runs: found \d+, expected exactly 5/v},
	{variant: 'without-drain', scenario: 'endpoint-drains', reason: /runs: found \d+, expected exactly 0/v},
	{variant: 'without-graceful-stop', scenario: 'graceful-stop', reason: /responses: found 0, expected exactly 2 \(2 UND_ERR_SOCKET\)/v},
	{variant: 'without-pause-check', scenario: 'allocator-frozen', reason: /host-paused/v},
	{variant: 'without-quarantine', scenario: 'endpoint-crashed-by-request', reason: /runs: found \d+, expected at most 2/v},
];
for (const {variant, scenario, reason} of rows) {
	t.test(`${scenario} fails ${variant}`, async t => {
		await t.rejects(runScenario(readScenario(scenario), {entryScript: path.join(variants, `${variant}.js`)}), {message: reason});
	});
}
