import fs from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {runSoak} from '../../src/soak/index.js';
import type {SoakFault} from '../../src/soak/soak-faults.js';

const variants = path.resolve(import.meta.dirname, '../variants');

/** Creates the fault target that selects the endpoint with the given index out of 12: 4 each of reads, payments and downloads. */
const createEndpointTarget = (index: number) => (index + 0.5) / 12;

function createFault(kind: string, {from = 500, milliseconds = 2500, target = 0, variant = 0}: Partial<SoakFault>): SoakFault {
	return {
		kind, from, milliseconds, target, variant,
	};
}

// Guards against checks that pass although the mechanism they test is disabled.
const rows: ReadonlyArray<{readonly variant: string; readonly promise: string; readonly plan: readonly SoakFault[]}> = [
	{
		variant: 'edge-without-drain',
		promise: 'no-work-for-leaving-endpoints',
		plan: [createFault('endpoint-leaves', {target: createEndpointTarget(0)})],
	},
	{
		variant: 'edge-without-notices',
		promise: 'no-work-after-leaving-notice',
		plan: [createFault('endpoint-announces-leaving', {target: createEndpointTarget(0), milliseconds: 3500})],
	},
	{
		variant: 'edge-without-notices',
		promise: 'pauses-are-kept',
		// Payments go to the endpoints with the indices 4 to 7.
		plan: [4, 5, 6, 7].map(index => createFault('endpoint-asks-for-pause', {target: createEndpointTarget(index), milliseconds: 3500})),
	},
	{
		variant: 'edge-without-unknown-outcome',
		promise: 'runs-once',
		plan: [4, 5, 6, 7].map(index => createFault('endpoint-faulty', {target: createEndpointTarget(index)})),
	},
	{
		variant: 'edge-without-seal-check',
		promise: 'whole-response',
		plan: [0, 1, 2, 3].map(index => createFault('endpoint-faulty', {target: createEndpointTarget(index), variant: 0.99})),
	},
	{
		variant: 'edge-without-graceful-stop',
		promise: 'run-is-answered',
		plan: [
			// Hosts stop many times while many requests are running, because at the first stops no request may have reached an endpoint yet.
			...[0, 1, 2, 3, 4, 5, 6, 7].map(index => createFault('endpoint-slow', {target: createEndpointTarget(index), variant: 0.5, milliseconds: 7000})),
			...Array.from({length: 10}, (_, index) => createFault('host-stopped', {from: 2000 + (500 * index), target: ((index % 6) + 0.5) / 6})),
		],
	},
];

for (const {variant, promise, plan} of rows) {
	t.test(`${promise} is broken ${variant}`, async t => {
		const {breaches, directory} = await runSoak({plan, script: path.join(variants, `${variant}.js`)});
		t.ok(breaches.some(breach => breach.promise === promise), `found: ${JSON.stringify(breaches.slice(0, 3))}`);
		fs.rmSync(directory, {recursive: true, force: true});
	});
}
