import t from 'tap';
import {findInconsistencies} from '../../src/scenarios/find-inconsistencies.js';
import type {RequestPlan, SentRequest} from '../../src/scenarios/sent-request.js';

const plan: RequestPlan = {
	group: 'payments', method: 'POST', target: '/payments/pay/1', body: 'a', key: 'k', workMilliseconds: 0, bodyMilliseconds: 0, bytes: undefined, within: undefined,
};
const sent: SentRequest = {
	plan, id: 'first', through: 'entry-0', sentAt: 1, endedAt: 2, status: 200, hasExpectedContent: true,
};
const run = {
	method: 'POST', target: plan.target, key: 'k', requestId: 'first', bodyHash: '', timeout: undefined, receivedAt: 1, startedAt: 1, endedAt: 2, end: 'answered',
} as const;

// Each case guards against a discrepancy that `findInconsistencies` misses, or one that it reports without reason.
const cases = [
	{name: 'one run and one response', records: {}, kinds: []},
	{name: 'a second run of a key by a resend', records: {runs: [run, {...run, requestId: 'second'}]}, kinds: ['ran-twice']},
	{
		name: 'a run that the endpoint refused', records: {
			runs: [run, {
				...run, requestId: 'second', startedAt: undefined, end: 'refused' as const,
			}],
		}, kinds: [],
	},
	{
		name: 'a refusal as not-run of a request that ran', records: {
			sent: [{
				...sent, status: 503, hasExpectedContent: undefined, outcome: 'not-run', code: 4004,
			}],
		}, kinds: ['not-run-ran'],
	},
	{
		name: 'a refusal as not-run of a resend whose first sending ran', records: {
			sent: [sent, {
				...sent, id: 'second', hasExpectedContent: undefined, outcome: 'not-run',
			}],
		}, kinds: [],
	},
	{name: 'content of another request', records: {sent: [{...sent, hasExpectedContent: false}]}, kinds: ['foreign-response']},
	{name: 'a violated invariant', records: {logs: [{host: 'entry-0', code: 9002, detail: 'x'}]}, kinds: ['invariant-violated']},
	{name: 'text on standard error', records: {logs: [{event: 'unparsed', text: 'Warning'}]}, kinds: ['internal-error']},
	{
		name: 'an older revision in force',
		records: {logs: [{event: 'configuration-applied', host: 'a', revision: 2}, {event: 'configuration-applied', host: 'a', revision: 1}]},
		kinds: ['revision-reverted'],
	},
	{
		name: 'an older revision after a restart',
		records: {logs: [{event: 'configuration-applied', host: 'a', revision: 2}, {event: 'host-started', host: 'a'}, {event: 'configuration-applied', host: 'a', revision: 1}]},
		kinds: [],
	},
];
for (const {name, records, kinds} of cases) {
	t.test(name, async t => {
		t.strictSame(findInconsistencies({
			sent: [sent], runs: [run], logs: [], ...records,
		}).map(({kind}) => kind), kinds);
	});
}
