import t from 'tap';
import {parseScenario} from '../../src/scenarios/parse-scenario.js';

const header = 'name: a\nproves: [promise-1]\nservices:\n  status: {}\n';

// Each case guards against an error message that does not point to the invalid line of the file.
const invalid = [
	{
		name: 'no steps', text: header, line: 1, reason: /steps: expected a list/v,
	},
	{
		name: 'syntax', text: `${header}steps: [`, line: 5, reason: /./v,
	},
	{
		name: 'unknown field', text: `${header}seed: 1\nsteps:\n  - kill: entry-0\n`, line: 5, reason: /seed/v,
	},
	{
		name: 'unknown step', text: `${header}steps:\n  - kill: entry-0\n  - explode: entry-0\n`, line: 7, reason: /found explode, expected one of start, kill/v,
	},
	{
		name: 'two steps in one', text: `${header}steps:\n  - kill: entry-0\n    start: entry-0\n`, line: 6, reason: /expected one step name/v,
	},
	{
		name: 'wrong type', text: `${header}steps:\n  - send:\n      service: status\n      through: entry-0\n      count: many\n`, line: 9, reason: /steps\.0\.send\.count/v,
	},
	{
		name: 'missing field', text: `${header}steps:\n  - slow: {factor: 2}\n`, line: 6, reason: /steps\.0\.slow\.endpoint/v,
	},
	{
		name: 'unknown condition', text: `${header}steps:\n  - expect:\n      answers: {}\n`, line: 7, reason: /answers/v,
	},
];
for (const {name, text, line, reason} of invalid) {
	t.test(`an error names file and line: ${name}`, async t => {
		t.throws(() => parseScenario(text, 'a.yaml'), {message: new RegExp(`^a\\.yaml:${line}: `, 'v')});
		t.throws(() => parseScenario(text, 'a.yaml'), {message: reason});
	});
}

t.test('a valid file keeps the line of each step', async t => {
	const {steps, entries} = parseScenario(`${header}steps:\n  - kill: entry-0\n  - wait-until:\n      responses: {status: 200, atLeast: 1}\n`, 'a.yaml');
	t.equal(entries, 3);
	t.strictSame(steps.map(({kind, position}) => [kind, position.line]), [['kill', 6], ['wait-until', 7]]);
});
