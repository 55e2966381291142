import fc from 'fast-check';
import {test} from 'tap';
import {TokenBucket} from '../src/token-bucket.js';

test('no window of one second spends more than the capacity, at any request times', async t => {
	fc.assert(fc.property(fc.array(fc.record({wait: fc.nat(700), amount: fc.integer({min: 1, max: 6})}), {maxLength: 200}), steps => {
		let now = 0;
		const bucket = new TokenBucket({capacity: 10, clock: () => now});
		const spent: Array<{at: number; amount: number}> = [];
		for (const {wait, amount} of steps) {
			now += wait;
			if (bucket.tryTake(amount)) {
				spent.push({at: now, amount});
			}
		}

		return spent.every(({at}) => spent.filter(other => other.at >= at && other.at < at + 1000).reduce((sum, other) => sum + other.amount, 0) <= 10);
	}), {seed: 7});
	t.pass('seed 7');
});

test('a settled reservation releases unspent tokens, and a cost above it makes the balance negative', async t => {
	let now = 0;
	const bucket = new TokenBucket({capacity: 10, clock: () => now});
	const reservation = bucket.tryReserve(8);
	t.equal(bucket.tryReserve(3), undefined);
	reservation?.settle(2);
	reservation?.settle(9);
	t.equal(bucket.available, 8);
	bucket.tryReserve(8)?.settle(15);
	t.equal(bucket.available, -7);
	now = 1000;
	t.equal(bucket.available, 10);
});
