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

/** Arguments of the process, which are passed as one JSON string. */
export type BaselineArguments = {
	readonly policy: PolicyName | 'bound';
	readonly seed: number;
	readonly configuration: Configuration;
	readonly endpoints: readonly PolicyEndpoint[];
};

/** Runs an entry host that uses the product's request path, but assigns slots by a baseline policy or by the bound. */
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
					policy, endpoints, reportedInFlight: collectLoadReports(), random,
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
// The parent process closes standard input at the end of the run, also when it exits unexpectedly.
process.stdin.resume().once('end', () => {
	process.exit(0);
});
