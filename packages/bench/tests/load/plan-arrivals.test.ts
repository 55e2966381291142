import {test} from 'tap';
import {durationHeader} from '@tanagerrail/stand-ins';
import {planArrivals, type LoadPlan} from '../../src/load/index.js';

const plan: LoadPlan = {
	seed: 7,
	hosts: 5,
	phases: [{milliseconds: 2000, rate: 1000}, {milliseconds: 1000, rate: 4000}],
	mix: [
		{
			kind: 'short', share: 0.9, path: 'claim-status', meanMilliseconds: 20,
		},
		{
			kind: 'long', share: 0.1, path: 'archive', meanMilliseconds: 200, longestMilliseconds: 400,
		},
	],
};

test('the same seed gives the same arrivals, so that variants are comparable', async t => {
	const describe = (seed: number) => JSON.stringify(planArrivals({...plan, seed}));
	const first = describe(7);
	t.ok(describe(7) === first);
	t.notOk(describe(8) === first);
});

test('rates, shares, hosts and service times follow the plan within four standard deviations', async t => {
	const arrivals = planArrivals(plan);
	const count = (condition: (arrival: typeof arrivals[number]) => boolean) => arrivals.filter(arrival => condition(arrival)).length;
	const mean = (kind: string) => arrivals.filter(arrival => arrival.kind === kind)
		.reduce((sum, {headers}, _, {length}) => sum + (Number(headers[durationHeader]) / length), 0);
	const cases: Array<{name: string; found: number; expected: number; tolerance: number}> = [
		{
			name: 'first phase', found: count(({at}) => at < 2000), expected: 2000, tolerance: 4 * Math.sqrt(2000),
		},
		{
			name: 'second phase', found: count(({at}) => at >= 2000), expected: 4000, tolerance: 4 * Math.sqrt(4000),
		},
		{
			name: 'long work', found: count(({kind}) => kind === 'long'), expected: 600, tolerance: 4 * Math.sqrt(600),
		},
		{
			name: 'one host', found: count(({host}) => host === 4), expected: 1200, tolerance: 4 * Math.sqrt(1200),
		},
		{
			name: 'short service time', found: mean('short'), expected: 20, tolerance: 4 * 20 / Math.sqrt(5400),
		},
	];
	for (const {name, found, expected, tolerance} of cases) {
		t.ok(Math.abs(found - expected) <= tolerance, `${name}: ${found} is not close to ${expected}`);
	}

	t.ok(arrivals.every(({headers}) => Number(headers[durationHeader]) <= 400), 'no service time exceeds the maximum');
});
