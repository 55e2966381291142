import process from 'node:process';
import {StandInEndpoint, type EndpointBehaviour} from '@tanagerrail/stand-ins';

/** Runs the endpoint stand-ins of one service in this process. Arguments: number of endpoints, behaviour as JSON. */
const [count = '1', behaviour = '{}'] = process.argv.slice(2);
const endpoints = Array.from({length: Number(count)}, (_, i) => new StandInEndpoint({
	// Different seeds, so that a request that stalls on one endpoint does not stall on all others too.
	requestStallSeed: String(i),
	...JSON.parse(behaviour) as Partial<EndpointBehaviour>,
}));
const ports = await Promise.all(endpoints.map(async endpoint => endpoint.start()));
process.stdout.write(`${JSON.stringify(ports)}\n`);
// The parent process keeps standard input open for the duration of the run.
process.stdin.resume().once('end', () => {
	process.exit(0);
});
