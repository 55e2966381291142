import fs from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {runSoak} from '../../src/soak/index.js';
import type {SoakFault} from '../../src/soak/soak-faults.js';

const variants = path.resolve(import.meta.dirname, '../variants');

/** Number that chooses the endpoint with an index among the 12 of a soak: 4 each of reads, payments and downloads. */
const chooseEndpoint = (index: number) => (index + 0.5) / 12;

function createFault(kind: string, {from = 500, milliseconds = 2500, target = 0, variant = 0}: Partial<SoakFault>): SoakFault {
	return {
		kind, from, milliseconds, target, variant,
	};
}

// Each row guards against a check that passes although the mechanism it is about does nothing.
const rows: ReadonlyArray<{readonly variant: string; readonly promise: string; readonly plan: readonly SoakFault[]}> = [
	{
		variant: 'edge-without-drain',
		promise: 'no-work-for-leaving-endpoints',
		plan: [createFault('endpoint-leaves', {target: chooseEndpoint(0)})],
	},
	{
		variant: 'edge-without-unknown-outcome',
		promise: 'runs-once',
		plan: [4, 5, 6, 7].map(index => createFault('endpoint-faulty', {target: chooseEndpoint(index)})),
	},
	{
		variant: 'edge-without-seal-check',
		promise: 'whole-response',
		plan: [0, 1, 2, 3].map(index => createFault('endpoint-faulty', {target: chooseEndpoint(index), variant: 0.99})),
	},
	{
		variant: 'edge-without-graceful-stop',
		promise: 'run-is-answered',
		plan: [
			// Many hosts stop while many requests run, since the first ones of a run may not have reached an endpoint yet.
			...[0, 1, 2, 3, 4, 5, 6, 7].map(index => createFault('endpoint-slow', {target: chooseEndpoint(index), variant: 0.5, milliseconds: 7000})),
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
