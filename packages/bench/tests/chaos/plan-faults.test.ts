import t from 'tap';
import {planFaults} from '../../src/chaos/plan-faults.js';
import {RandomSource} from '../../src/load/random-source.js';

const options = {
	milliseconds: 60_000,
	entries: ['entry-0', 'entry-1', 'entry-2', 'entry-3', 'entry-4'],
	endpoints: {status: ['status-0', 'status-1', 'status-2', 'status-3', 'status-4'], archive: ['archive-0', 'archive-1', 'archive-2']},
};

for (const seed of [1, 2, 3]) {
	t.test(`the plan of seed ${seed} leaves enough processes running and is reproducible`, async t => {
		const plan = planFaults(new RandomSource(seed), options);
		t.strictSame(planFaults(new RandomSource(seed), options), plan, 'a failing run must be reproducible from its seed');
		t.ok(plan.length > 20);
		for (const {from, target} of plan) {
			const active = plan.filter(fault => fault.from <= from && fault.until > from);
			t.ok(new Set(active.filter(({scope}) => scope === 'entry').map(fault => fault.target)).size <= 2, 'three entries are left');
			t.equal(active.filter(fault => fault.target === target).length, 1, 'one fault of a target at a time');
		}
	});
}
