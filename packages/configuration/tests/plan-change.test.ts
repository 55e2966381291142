import {test} from 'tap';
import {extendRule} from '../src/approval-rule.js';
import {parseAnswers} from '../src/parse-answers.js';
import {planChange, type PlanReason} from '../src/plan-change.js';
import {readExample, updateExampleText} from './examples.js';

const text = readExample('vihmavesi');
const current = parseAnswers(text)._unsafeUnwrap();
const read = (from: string, to: string) => parseAnswers(updateExampleText(text, from, to))._unsafeUnwrap();

const cases: Array<{from: string; to: string; kind: string; reason: PlanReason}> = [
	{
		from: 'count: 6', to: 'count: 8', kind: 'description', reason: 'no-effect',
	},
	{
		from: 'deadlineMilliseconds: 2000', to: 'deadlineMilliseconds: 2500', kind: 'deadline', reason: 'within-answers',
	},
	{
		from: 'deadlineMilliseconds: 2000', to: 'deadlineMilliseconds: 3000', kind: 'deadline', reason: 'beyond-bounds',
	},
	{
		from: 'deadlineMilliseconds: 10000', to: 'deadlineMilliseconds: 11000', kind: 'deadline-keyed', reason: 'must-not-repeat',
	},
	{
		from: 'class: grant, idempotent: false', to: 'class: grant, idempotent: true', kind: 'idempotence-keyed', reason: 'must-not-repeat',
	},
	{
		from: 'slots: 3', to: 'slots: 4', kind: 'slots', reason: 'new-kind',
	},
	{
		from: '{change: deadline, upTo: 0.25}', to: '{change: deadline, upTo: 1}', kind: 'routine-rules', reason: 'new-kind',
	},
	{
		from: '/claims/**', to: '/claim/**', kind: 'route-added', reason: 'new-kind',
	},
];

test('each kind of change is recognized, and only declared or approved changes are routine', async t => {
	for (const {from, to, kind, reason} of cases) {
		t.match(planChange(current, read(from, to)).changes.find(change => change.approvalKind === kind), {reason}, to);
	}
});

test('an approval covers changes within its bounds in both directions, but not beyond them', async t => {
	const next = read('deadlineMilliseconds: 10000', 'deadlineMilliseconds: 14000');
	const decision = {by: 'mari', at: '2026-01-01T00:00:00.000Z', token: 'a'};
	const rule = extendRule(undefined, planChange(current, next).changes, decision);
	t.equal(planChange(current, next, [rule]).isRoutine, true);
	t.equal(planChange(next, current, [rule]).isRoutine, true);
	t.match(planChange(current, read('deadlineMilliseconds: 10000', 'deadlineMilliseconds: 15000'), [rule]), {isRoutine: false, needsApproval: ['deadline-keyed']});
});

test('a plan reports its effects on queues and limits', async t => {
	const {effects} = planChange(current, read('longWorkShare: 0.2', 'longWorkShare: 0.3'));
	t.match(effects.find(({measure}) => measure === 'long-slots'), {subject: 'claim-status', before: 6, after: 9});
	t.ok(effects.some(({measure}) => measure === 'queue-length'));
});
