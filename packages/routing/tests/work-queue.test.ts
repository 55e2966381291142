import {test} from 'tap';
import type {WorkClass} from '@tanagerrail/configuration';
import {WorkQueue, type Waiter} from '../src/work-queue.js';

const workClass: WorkClass = {
	name: 'status', kind: 'short', priority: 'interactive', usualMilliseconds: 10, longestMilliseconds: 100, deadlineMilliseconds: 1000, hedge: false,
};
const batch: WorkClass = {...workClass, name: 'batch', priority: 'batch'};

test('a request with a lower priority or a later deadline does not overtake', async t => {
	const cases: Array<{name: string; waiters: Waiter[]; order: number[]}> = [
		{name: 'earlier deadline first', waiters: [{workClass, deadline: 20}, {workClass, deadline: 10}], order: [10, 20]},
		{name: 'priority before deadline', waiters: [{workClass: batch, deadline: 1}, {workClass, deadline: 30}], order: [30, 1]},
	];
	for (const {name, waiters, order} of cases) {
		const queue = new WorkQueue();
		for (const waiter of waiters) {
			queue.enqueue(waiter);
		}

		t.same(order.map(() => queue.take()?.deadline), order, name);
	}
});

test('only waiters ahead are counted, because admission would refuse too many requests otherwise', async t => {
	const queue = new WorkQueue();
	queue.enqueue({workClass, deadline: 10});
	queue.enqueue({workClass: batch, deadline: 5});
	t.equal(queue.countAhead({workClass, deadline: 20}), 1);
	t.equal(queue.countAhead({workClass: batch, deadline: 20}), 2);
});
