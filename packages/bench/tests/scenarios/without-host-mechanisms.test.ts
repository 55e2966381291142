import {runWithoutMechanism} from './run-without-mechanism.js';

runWithoutMechanism([
	{variant: 'without-measuring-budget', scenario: 'measuring-budget', reason: /measuring-budget does not hold|probes: found \d+/v},
	{variant: 'without-drain', scenario: 'endpoint-drains', reason: /runs: found \d+, expected exactly 0/v},
	{variant: 'without-graceful-stop', scenario: 'graceful-stop', reason: /responses: found 0, expected exactly 2 \(2 UND_ERR_SOCKET\)/v},
	{variant: 'without-pause-check', scenario: 'allocator-frozen', reason: /host-paused/v},
	{variant: 'without-quarantine', scenario: 'endpoint-crashed-by-request', reason: /runs: found \d+, expected at most 2/v},
]);
