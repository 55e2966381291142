import {test} from 'tap';
import {createFailure} from '../src/failure.js';
import {buildProblemDetails} from '../src/problem-details.js';

test('problem details contain the number, the outcome and a message without placeholders', async t => {
	const details = buildProblemDetails(createFailure('queue-full', {service: 'payments', wait: 12}));
	t.match(details, {status: 503, code: 2001, outcome: 'not-run'});
	t.notMatch(details.detail, /[\{\}]/v);
});

test('the outcome of a failure overrides that of its result code', async t => {
	t.equal(buildProblemDetails(createFailure('request-aborted', {}, 'not-run')).outcome, 'not-run');
});
