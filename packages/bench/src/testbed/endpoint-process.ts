import process from 'node:process';
import {StandInEndpoint, type EndpointBehaviour} from '@tanagerrail/stand-ins';

/** Runs the endpoints of one service in this process; arguments: number of endpoints, behaviour as JSON. */
const [count = '1', behaviour = '{}'] = process.argv.slice(2);
const endpoints = Array.from({length: Number(count)}, (_, i) => new StandInEndpoint({
	// A request that stalls on one endpoint must have its chance on another.
	requestStallSeed: String(i),
	...JSON.parse(behaviour) as Partial<EndpointBehaviour>,
}));
const ports = await Promise.all(endpoints.map(async endpoint => endpoint.start()));
process.stdout.write(`${JSON.stringify(ports)}\n`);
// The parent holds the other end of standard input; its end is the end of the run.
process.stdin.resume().once('end', () => {
	process.exit(0);
});
