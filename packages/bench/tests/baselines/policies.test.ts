import {test} from 'tap';
import {policies, PolicyName, type PolicyInput} from '../../src/baselines/policies.js';

const input: PolicyInput = {
	candidates: ['a', 'b', 'c'],
	inFlight: new Map([['a', 2], ['b', 1], ['c', 2]]),
	reportedInFlight: new Map([['a', 9], ['b', 5], ['c', 7]]),
	roundRobinIndex: 4,
	random: () => 0.999,
};

test('guards against baselines that choose worse endpoints than their policy, which would favour the product', async t => {
	const cases: Array<{policy: PolicyName; picked: string; overrides?: Partial<PolicyInput>}> = [
		{policy: PolicyName.random, picked: 'c'},
		{policy: PolicyName.random, picked: 'a', overrides: {random: () => 0}},
		{policy: PolicyName.roundRobin, picked: 'b'},
		{policy: PolicyName.leastInFlight, picked: 'b'},
		{policy: PolicyName.leastInFlight, picked: 'c', overrides: {inFlight: new Map()}},
		{policy: PolicyName.twoChoices, picked: 'b'},
		{policy: PolicyName.twoChoices, picked: 'c', overrides: {reportedInFlight: new Map([['b', 8]])}},
		{policy: PolicyName.twoChoices, picked: 'a', overrides: {candidates: ['a']}},
	];
	for (const {policy, picked, overrides} of cases) {
		t.equal(policies[policy]({...input, ...overrides}), picked, policy);
	}
});
