import {resultCodes, type Outcome} from '@tanagerrail/results';
import {runEntry} from './run-entry.js';

/** Variant of the entry host that reports the outcome `not-run` for requests that may have run. */
for (const id of ['outcome-unknown', 'endpoint-lost', 'endpoint-timeout'] as const) {
	(resultCodes[id] as {outcome: Outcome}).outcome = 'not-run';
}

await runEntry();
