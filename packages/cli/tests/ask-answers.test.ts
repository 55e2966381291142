import {test} from 'tap';
import {formatProblem, parseAnswers} from '@tanagerrail/configuration';
import {renderAnswers} from '../src/commands/answers-init.js';
import {askAnswers} from '../src/commands/ask-answers.js';

test('answering the questions in the terminal creates a valid file; a question is repeated after an invalid value', async t => {
	const typed: Array<[RegExp, string]> = [
		[/Number of failure domains/v, 'many'],
		[/Add a routine change/v, 'yes'],
		[/Name of the service/v, 'claims'],
		[/Add another work class/v, 'yes'],
		[/Name of the work class/v, 'grant'],
		[/Method/v, 'POST'],
		[/Path pattern/v, '/claims'],
		[/Is it idempotent/v, 'no'],
		[/Add another kind of request/v, 'yes'],
		[/Work class/v, 'read'],
	];
	// Accepts the proposed values for the first work class, and types the names of the second one and of its request.
	let classes = 0;
	const asked: string[] = [];
	const answers = await askAnswers(async question => {
		asked.push(question);
		classes += question.startsWith('Name of the work class') ? 1 : 0;
		const index = typed.findIndex(([pattern]) => pattern.test(question));
		if (index === -1 || (question.startsWith('Name of the work class') && classes === 1)) {
			return '';
		}

		const [[, answer]] = typed.splice(index, 1) as [[RegExp, string]];
		return question.startsWith('Work class') && asked.filter(text => text.startsWith('Work class')).length === 1 ? 'grant' : answer;
	});
	t.equal(asked.filter(question => question.includes('Number of failure domains')).length, 2);
	t.match(answers.services[0], {name: 'claims', classes: [{name: 'read'}, {name: 'grant'}], requests: [{method: 'POST', class: 'grant', idempotent: false}, {method: 'GET', class: 'read'}]});
	const problems = parseAnswers(renderAnswers(answers)).match(() => [], found => found.map(problem => formatProblem(problem, 'answers.yaml')));
	t.strictSame(problems, []);
});
