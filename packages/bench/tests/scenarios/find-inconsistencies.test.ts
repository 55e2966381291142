import t from 'tap';
import {findInconsistencies} from '../../src/scenarios/find-inconsistencies.js';
import type {RequestPlan, SentRequest} from '../../src/scenarios/sent-request.js';

const plan: RequestPlan = {
	group: 'payments', method: 'POST', target: '/payments/pay/1', body: 'a', key: 'k', workMilliseconds: 0, bodyMilliseconds: 0, bytes: undefined, within: undefined,
};
const sent: SentRequest = {
	plan, id: 'first', through: 'entry-0', sentAt: 1, endedAt: 2, status: 200, isOwn: true,
};
const run = {
	method: 'POST', target: plan.target, key: 'k', requestId: 'first', bodyHash: '', timeout: undefined, receivedAt: 1, startedAt: 1, endedAt: 2, end: 'answered',
} as const;

// Each row guards against a disagreement that the second witness would overlook, or one that it invents.
const rows = [
	{name: 'one run and one response', evidence: {}, kinds: []},
	{name: 'a second run of a key by a resend', evidence: {runs: [run, {...run, requestId: 'second'}]}, kinds: ['ran-twice']},
	{
		name: 'a run that the endpoint refused', evidence: {
			runs: [run, {
				...run, requestId: 'second', startedAt: undefined, end: 'refused' as const,
			}],
		}, kinds: [],
	},
	{
		name: 'a refusal as not-run of a request that ran', evidence: {
			sent: [{
				...sent, status: 503, isOwn: undefined, outcome: 'not-run', code: 4004,
			}],
		}, kinds: ['not-run-ran'],
	},
	{
		name: 'a refusal as not-run of a resend whose first sending ran', evidence: {
			sent: [sent, {
				...sent, id: 'second', isOwn: undefined, outcome: 'not-run',
			}],
		}, kinds: [],
	},
	{name: 'content of another request', evidence: {sent: [{...sent, isOwn: false}]}, kinds: ['foreign-response']},
	{name: 'a violated invariant', evidence: {logs: [{host: 'entry-0', code: 9002, detail: 'x'}]}, kinds: ['invariant-violated']},
	{name: 'text on standard error', evidence: {logs: [{event: 'unparsed', text: 'Warning'}]}, kinds: ['internal-error']},
	{
		name: 'an older revision in force',
		evidence: {logs: [{event: 'configuration-applied', host: 'a', revision: 2}, {event: 'configuration-applied', host: 'a', revision: 1}]},
		kinds: ['revision-reverted'],
	},
	{
		name: 'an older revision after a restart',
		evidence: {logs: [{event: 'configuration-applied', host: 'a', revision: 2}, {event: 'host-started', host: 'a'}, {event: 'configuration-applied', host: 'a', revision: 1}]},
		kinds: [],
	},
];
for (const {name, evidence, kinds} of rows) {
	t.test(name, async t => {
		t.strictSame(findInconsistencies({
			sent: [sent], runs: [run], logs: [], ...evidence,
		}).map(({kind}) => kind), kinds);
	});
}
