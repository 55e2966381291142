import {test} from 'tap';
import {AttemptBudget} from '../src/attempt-budget.js';
import {EndpointRecord} from '../src/endpoint-record.js';
import {ProbeBudget} from '../src/probe-budget.js';

test('guards against more attempts than all hosts together may make in any window', async t => {
	const time = {now: 0};
	const hosts = 10;
	const [ratio, slack, windowMilliseconds] = [0.2, 50, 10_000];
	const budgets = Array.from({length: hosts}, () => new AttemptBudget({
		clock: () => time.now, ratio, slack, windowMilliseconds, getHostCount: () => hosts, startedAt: 0,
	}));
	const requests: number[] = [];
	const attempts: number[] = [];
	for (time.now = 0; time.now < 60_000; time.now += 10) {
		const budget = budgets[(time.now / 10 * 7) % hosts]!;
		// Requests stop for a while, so that a budget that accumulated tokens would allow a burst.
		if (time.now < 20_000 || time.now > 35_000) {
			budget.addRequest();
			requests.push(time.now);
		}

		while (budget.take()) {
			attempts.push(time.now);
		}
	}

	t.ok(attempts.length > 100, 'the budget is usable');
	for (let end = 0; end < 60_000; end += 250) {
		const countIn = (times: readonly number[], from: number) => times.filter(at => at > from - windowMilliseconds && at <= from).length;
		const earned = Math.max(countIn(requests, end), countIn(requests, end - 5000), countIn(requests, end - 10_000));
		t.ok(countIn(attempts, end) <= (ratio * earned) + slack, `window that ends at ${end}`);
	}
});

test('guards against a first request after a long idle time that may not be retried', async t => {
	const budget = new AttemptBudget({
		clock: () => 60_000, ratio: 0.2, slack: 50, windowMilliseconds: 10_000, getHostCount: () => 10, startedAt: 0,
	});
	budget.addRequest();
	t.ok(budget.take());
});

test('guards against a second slack for a host that has just restarted', async t => {
	const time = {now: 0};
	const budget = new AttemptBudget({
		clock: () => time.now, ratio: 0, slack: 100, windowMilliseconds: 10_000, getHostCount: () => 1, startedAt: 0,
	});
	t.notOk(budget.take());
	time.now = 5000;
	t.ok(budget.available > 30 && budget.available <= 50);
});

test('guards against more probes in a minute than the measuring budget allows', async t => {
	const time = {now: 0};
	const [limit, seconds] = [60, 60];
	const budget = new ProbeBudget({clock: () => time.now, getRate: () => limit * 0.6});
	let sent = 0;
	for (time.now = 0; time.now < seconds * 1000; time.now += 5) {
		sent += budget.take('s') ? 1 : 0;
	}

	t.ok(sent > limit * seconds / 2, 'the budget is usable');
	t.ok(sent <= limit * seconds, `${sent} probes`);
});

test('guards against a preference for an endpoint that fails fast and therefore looks idle', async t => {
	const record = new EndpointRecord();
	record.recordFailure(0);
	t.notOk(record.isAvoided(0));
	record.recordFailure(10);
	t.ok(record.isAvoided(20));
	t.notOk(record.isAvoided(600));
	t.ok(record.computeFailureShare(10) > 0.4);
	t.ok(record.computeFailureShare(10_000) < 0.05, 'old failures fade');
	record.recordSuccess();
	t.notOk(record.isAvoided(20));
});

test('guards against memory that grows for a service whose budget nobody asks for', async t => {
	const time = {now: 0};
	const budget = new AttemptBudget({
		clock: () => time.now, ratio: 1, slack: 0, windowMilliseconds: 100, getHostCount: () => 1, startedAt: 0,
	});
	const before = process.memoryUsage().heapUsed;
	for (; time.now < 2_000_000; time.now++) {
		budget.addRequest();
	}

	const taken = process.memoryUsage().heapUsed - before;
	t.ok(taken < 8_000_000, `the heap grew by ${taken} bytes`);
});
