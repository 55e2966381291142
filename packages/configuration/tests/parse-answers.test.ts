import fs from 'node:fs';
import {test} from 'tap';
import {parse} from 'yaml';
import {formatProblem} from '../src/answer-problem.js';
import {parseAnswers} from '../src/parse-answers.js';
import {readExample, formatEdited} from './examples.js';

type InvalidCase = {from: string; to: string; problems: string[]};
const cases = parse(fs.readFileSync(new URL('../../tests/fixtures/bad-answers.yaml', import.meta.url), 'utf8')) as InvalidCase[];

test('each invalid file is refused with exactly its messages, so no mistake is hidden by another', async t => {
	t.ok(cases.length >= 50);
	for (const {from, to, problems} of cases) {
		const parsed = parseAnswers(formatEdited(readExample('vihmavesi'), from, to));
		t.strictSame(parsed.isErr() && parsed.error.map(problem => formatProblem(problem, 'answers.yaml')), problems, to);
	}
});

test('work that a planned stop would cut off is refused when the bound of the hosts is known', async t => {
	const problems = parseAnswers(readExample('vihmavesi'), {shutdownMilliseconds: 30_000})._unsafeUnwrapErr();
	t.strictSame(problems.map(({rule, field}) => [rule, field]), [['longest-above-shutdown', 'services[2].classes[1].longestMilliseconds']]);
});

test('a contradiction in one service is found although another service is malformed', async t => {
	const text = formatEdited(formatEdited(readExample('vihmavesi'), 'longWorkShare: 0.2', 'longWorkShare: 20'), 'longWorkShare: 0.5', 'longWorkShare: 0.99');
	t.strictSame(parseAnswers(text)._unsafeUnwrapErr().map(({rule}) => rule), ['range', 'share-leaves-no-room']);
});
