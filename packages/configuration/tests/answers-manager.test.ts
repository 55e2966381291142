import {randomUUID} from 'node:crypto';
import {setImmediate} from 'node:timers/promises';
import type {ResultAsync} from 'neverthrow';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {test} from 'tap';
import {AnswersManager, type ApplyRequest} from '../src/answers-manager.js';
import {RevisionStore} from '../src/revision-store.js';
import {readExample, updateExampleText} from './examples.js';
import {MemoryTable} from './memory-table.js';

const text = readExample('vihmavesi');
const createEdit = (to: number) => updateExampleText(text, 'deadlineMilliseconds: 10000', `deadlineMilliseconds: ${to}`);

function createRequest(answers: string, more: Partial<ApplyRequest> = {}): ApplyRequest {
	return {
		answers, by: 'mari', note: '', approve: [], token: randomUUID(), ...more,
	};
}

async function getValue<T>(result: ResultAsync<T, unknown>): Promise<T> {
	const settled = await result;
	return settled._unsafeUnwrap();
}

async function getError<E>(result: ResultAsync<unknown, E>): Promise<E> {
	const settled = await result;
	return settled._unsafeUnwrapErr();
}

async function countHistory(store: RevisionStore): Promise<number> {
	const history = await getValue(store.listHistory());
	return history.length;
}

async function createManager() {
	const table = new MemoryTable();
	const store = new RevisionStore({table, wait: async () => setImmediate()});
	const manager = new AnswersManager({store});
	await manager.apply(createRequest(text));
	return {table, store, manager};
}

test('a change that affects non-idempotent requests needs one approval, then is routine within its bounds', async t => {
	const {manager, store} = await createManager();
	t.match(await getError(manager.apply(createRequest(createEdit(12_000)))), {failure: {id: 'approval-required', parameters: {kinds: 'deadline-keyed'}}});
	t.match(await getValue(manager.apply(createRequest(createEdit(12_000), {approve: ['deadline-keyed']}))), {record: {revision: 2}});
	t.match(await getValue(manager.apply(createRequest(createEdit(11_000)))), {record: {revision: 3}});
	t.match(await getValue(manager.revert(1, createRequest(''))), {record: {revision: 4}});
	t.match(await getValue(store.readCurrent()), {answers: text});
	await getValue(store.revokeApproval('deadline-keyed'));
	t.match(await getError(manager.apply(createRequest(createEdit(11_000)))), {failure: {id: 'approval-required'}});
	t.match(await getError(store.revokeApproval('deadline-keyed')), {id: 'approval-unknown'});
	t.match(await getError(manager.revert(9, createRequest(''))), {failure: {id: 'revision-unknown'}});
});

test('a change is refused when the approval on which it depends is revoked concurrently', async t => {
	const {manager, table} = await createManager();
	await manager.apply(createRequest(createEdit(12_000), {approve: ['deadline-keyed']}));
	let writes = 0;
	table.chooseFault = kind => {
		if (kind === 'write' && writes++ === 0) {
			table.items.delete('approval#deadline-keyed');
		}

		return undefined;
	};

	t.match(await getError(manager.apply(createRequest(createEdit(11_000)))), {failure: {id: 'approval-conflict'}});
});

test('a conflict reports the other operator and their changes', async t => {
	const {manager} = await createManager();
	await manager.apply(createRequest(createEdit(12_000), {by: 'jaan', approve: ['deadline-keyed']}));
	const refusal = await getError(manager.apply(createRequest(createEdit(9000), {base: 1})));
	t.match(refusal, {failure: {id: 'revision-conflict', parameters: {revision: 2, by: 'jaan'}}, otherChange: {by: 'jaan', changes: [/grant changes from 10000 ms to 12000 ms/v]}});
});

test('the token shows after a lost response whether the write took effect', async t => {
	for (const fault of ['lost-before', 'lost-after'] as const) {
		const {manager, table, store} = await createManager();
		let isFirst = true;
		table.chooseFault = kind => {
			const chosen = kind === 'write' && isFirst ? fault : undefined;
			isFirst &&= kind !== 'write';
			return chosen;
		};

		t.match(await getValue(manager.apply(createRequest(createEdit(12_000), {approve: ['deadline-keyed']}))), {record: {revision: 2}}, fault);
		t.equal(await countHistory(store), 2, 'the change is recorded once');
	}
});

test('a retried change is recognized by its token and not applied twice', async t => {
	const {manager, store} = await createManager();
	const request = createRequest(text, {base: 1});
	await manager.apply(request);
	await manager.apply(createRequest(text));
	t.match(await getValue(manager.apply(request)), {record: {revision: 2}});
	t.equal(await countHistory(store), 3);
});

test('a change is refused and the revision kept when the table service is unavailable', async t => {
	const {manager, table, store} = await createManager();
	table.chooseFault = () => 'down';
	t.match(await getError(manager.apply(createRequest(text))), {failure: {id: 'table-unavailable'}});
	table.chooseFault = () => undefined;
	t.match(await getValue(store.readCurrent()), {revision: 1});
});

test('a plan survives one failed read of the table service', async t => {
	const {manager, table} = await createManager();
	for (const failedRead of [1, 2]) {
		let reads = 0;
		table.chooseFault = kind => {
			reads += kind === 'read' ? 1 : 0;
			return kind === 'read' && reads === failedRead ? 'down' : undefined;
		};

		t.match(await getValue(manager.plan(createEdit(12_000))), {base: 1}, `read ${failedRead}`);
	}
});

test('200 conflicting changes from four clients with lost responses are each either recorded or refused', async t => {
	const seed = Number(process.env.SEED ?? 20_261);
	t.comment(`seed ${seed}`);
	const random = xoroshiro128plus(seed);
	const {manager, table, store} = await createManager();
	const faults = [undefined, undefined, undefined, 'lost-before', 'lost-after', 'down'] as const;
	table.chooseFault = kind => kind === 'write' ? faults[uniformInt(random, 0, faults.length - 1)] : undefined;
	const accepted: string[] = [];
	const refused: Record<string, number> = {};
	const runClient = async (by: string) => {
		for (let i = 0; i < 50; i++) {
			const request = createRequest(createEdit(uniformInt(random, 5000, 20_000)), {by, approve: ['deadline-keyed']});
			const applied = await manager.apply(request);
			if (applied.isOk()) {
				accepted.push(request.token);
			} else {
				refused[applied.error.failure.id] = (refused[applied.error.failure.id] ?? 0) + 1;
			}
		}
	};

	await Promise.all(['mari', 'jaan', 'ana', 'luis'].map(runClient));
	const history = await getValue(store.listHistory());
	t.strictSame(history.map(({revision}) => revision), history.map((_, index) => index + 1), 'revision numbers have no gaps');
	const recorded = history.slice(1).map(({token}) => token);
	t.strictSame([...accepted].sort(), [...recorded].sort(), 'exactly the changes that were reported as accepted are recorded');
	t.equal(accepted.length + Object.values(refused).reduce((sum, count) => sum + count, 0), 200);
	t.strictSame(Object.keys(refused).filter(id => !['revision-conflict', 'approval-conflict', 'table-unavailable'].includes(id)), [], JSON.stringify({accepted: accepted.length, refused}));
	t.comment(JSON.stringify({accepted: accepted.length, refused}));
});
