import fs from 'node:fs';
import {test} from 'tap';
import {parse} from 'yaml';
import {formatProblem} from '../src/answer-problem.js';
import {parseAnswers} from '../src/parse-answers.js';
import {readExample, updateExampleText} from './examples.js';

type InvalidCase = {from: string; to: string; problems: string[]};
const cases = parse(fs.readFileSync(new URL('../../tests/fixtures/bad-answers.yaml', import.meta.url), 'utf8')) as InvalidCase[];

test('each invalid file is refused with exactly the expected messages, so that no error hides another', async t => {
	t.ok(cases.length >= 50);
	for (const {from, to, problems} of cases) {
		const parsed = parseAnswers(updateExampleText(readExample('vihmavesi'), from, to));
		t.strictSame(parsed.isErr() && parsed.error.map(problem => formatProblem(problem, 'answers.yaml')), problems, to);
	}
});

test('a longest duration above the shutdown limit of the hosts is refused', async t => {
	const problems = parseAnswers(readExample('vihmavesi'), {shutdownMilliseconds: 30_000})._unsafeUnwrapErr();
	t.strictSame(problems.map(({rule, field}) => [rule, field]), [['longest-above-shutdown', 'services[2].classes[1].longestMilliseconds']]);
});

test('a contradiction in one service is found even if another service is malformed', async t => {
	const text = updateExampleText(updateExampleText(readExample('vihmavesi'), 'longWorkShare: 0.2', 'longWorkShare: 20'), 'longWorkShare: 0.5', 'longWorkShare: 0.99');
	t.strictSame(parseAnswers(text)._unsafeUnwrapErr().map(({rule}) => rule), ['range', 'share-leaves-no-room']);
});
