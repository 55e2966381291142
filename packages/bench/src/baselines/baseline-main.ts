import process from 'node:process';
import {createUnavailableClaims} from '@tanagerrail/claims';
import type {Configuration} from '@tanagerrail/configuration';
import {createServiceListener, EndpointConnections} from '@tanagerrail/http';
import {RetryBudget} from '@tanagerrail/routing';
import {createMetrics, readMonotonicClock} from '@tanagerrail/telemetry';
import {RandomSource} from '../load/random-source.js';
import {createBoundSource} from './bound-source.js';
import {collectLoadReports} from './load-reports.js';
import type {PolicyName} from './policies.js';
import {PolicySource, type PolicyEndpoint} from './policy-source.js';

/** Argument of the process, as JSON. */
export type BaselineArguments = {
	readonly policy: PolicyName | 'bound';
	readonly seed: number;
	readonly configuration: Configuration;
	readonly endpoints: readonly PolicyEndpoint[];
};

/** Runs one entry host whose slots come from a baseline or the bound; the rest is the product's request path. */
async function runBaseline({policy, seed, configuration, endpoints}: BaselineArguments): Promise<number> {
	const source = new RandomSource(seed);
	const random = () => source.draw();
	const budgets = new Map(configuration.services.map(({name, retryBudget}) => [name, new RetryBudget({ratio: retryBudget})]));
	const listener = createServiceListener({
		context: {
			hostId: `baseline-${seed}`,
			clock: readMonotonicClock,
			slots: policy === 'bound'
				? createBoundSource(configuration, endpoints, random)
				: new PolicySource({
					policy, endpoints, reports: collectLoadReports(), random,
				}),
			connections: new EndpointConnections({
				clock: readMonotonicClock, connections: 200, connectTimeout: 250, idleTimeout: 30_000,
			}),
			claims: createUnavailableClaims(),
			metrics: createMetrics(),
			getConfiguration: () => configuration,
			getRetryBudget: service => budgets.get(service)!,
			record: () => undefined,
		},
	});
	return listener.start({host: '127.0.0.1', port: 0});
}

const port = await runBaseline(JSON.parse(process.argv[2]!) as BaselineArguments);
process.stdout.write(`${JSON.stringify([port])}\n`);
// The parent holds the other end of standard input; its end is the end of the run.
process.stdin.resume().once('end', () => {
	process.exit(0);
});
