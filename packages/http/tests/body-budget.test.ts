import {test} from 'tap';
import {BodyBudget} from '../src/body-budget.js';

const mebibyte = 1_048_576;

test('bodies are accepted as long as the budget has room', async t => {
	const budget = new BodyBudget(() => 10 * mebibyte);
	const [first, second, third] = [budget.openReservation(), budget.openReservation(), budget.openReservation()];
	t.ok(first.extend(6 * mebibyte));
	t.notOk(second.extend(6 * mebibyte));
	t.ok(third.extend(3 * mebibyte));
	first.release();
	t.ok(second.extend(6 * mebibyte));
	second.release();
	third.release();
	t.equal(budget.reservedBytes, 0);
});

test('guards against short requests that are refused because of long ones', async t => {
	const budget = new BodyBudget(() => mebibyte);
	t.ok(budget.openReservation().extend(2 * mebibyte), 'a body larger than the budget is accepted alone');
	t.ok(budget.openReservation().extend(10_000));
	t.notOk(budget.openReservation().extend(100_000));
});

test('a body without a declared length reserves more as it arrives, and is refused when there is no room', async t => {
	const budget = new BodyBudget(() => 4 * mebibyte);
	const other = budget.openReservation();
	t.ok(other.extend(2 * mebibyte));
	const growing = budget.openReservation();
	let received = 0;
	while (growing.extend(received + 4096)) {
		received += 4096;
	}

	t.ok(received > 1.9 * mebibyte && received < 2.2 * mebibyte, `${received} bytes`);
	t.ok(budget.reservedBytes <= 4 * mebibyte);
	growing.release();
	growing.release();
	other.release();
	t.equal(budget.reservedBytes, 0);
});
