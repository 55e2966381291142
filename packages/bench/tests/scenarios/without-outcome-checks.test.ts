import {runWithoutMechanism} from './run-without-mechanism.js';

runWithoutMechanism([
	{variant: 'without-revision-conditions', scenario: 'answers-conflict', reason: /applied changes: found 2, expected exactly 1/v},
	{variant: 'without-complete-responses', scenario: 'response-cut', reason: /responses: found 3, expected exactly 0/v},
	{variant: 'without-unknown-outcome', scenario: 'payment-endpoint-crashes', reason: /responses: found 0, expected exactly 1|not-run-ran/v},
	{variant: 'without-claim-conditions', scenario: 'claim-runs-once', reason: /runs: found \d+, expected exactly 5/v},
]);
