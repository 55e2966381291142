import {test} from 'tap';
import {policies, PolicyName, type PolicyView} from '../../src/baselines/policies.js';

const view: PolicyView = {
	candidates: ['a', 'b', 'c'],
	inFlight: new Map([['a', 2], ['b', 1], ['c', 2]]),
	reports: new Map([['a', 9], ['b', 5], ['c', 7]]),
	turn: 4,
	random: () => 0.999,
};

test('a baseline that picks badly would make the product look good', async t => {
	const cases: Array<{policy: PolicyName; picked: string; change?: Partial<PolicyView>}> = [
		{policy: PolicyName.random, picked: 'c'},
		{policy: PolicyName.random, picked: 'a', change: {random: () => 0}},
		{policy: PolicyName.roundRobin, picked: 'b'},
		{policy: PolicyName.leastInFlight, picked: 'b'},
		{policy: PolicyName.leastInFlight, picked: 'c', change: {inFlight: new Map()}},
		{policy: PolicyName.twoChoices, picked: 'b'},
		{policy: PolicyName.twoChoices, picked: 'c', change: {reports: new Map([['b', 8]])}},
		{policy: PolicyName.twoChoices, picked: 'a', change: {candidates: ['a']}},
	];
	for (const {policy, picked, change} of cases) {
		t.equal(policies[policy]({...view, ...change}), picked, policy);
	}
});
