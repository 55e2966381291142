import fc from 'fast-check';
import {test} from 'tap';
import {getViolationCounts} from '@tanagerrail/telemetry';
import {TableClaims} from '../src/table-claims.js';
import {callBehaviors, FakeTable, unusedObjects} from './fake-table.js';

/** Results of one dispatch. A killed host stores and removes nothing; `killed` is after the dispatch, `killed-before` before it. */
const dispatchResults = ['answered', 'not-run', 'not-run', 'lost', 'killed', 'killed-before'] as const;

type Request = {readonly key: string; readonly dispatchResult: typeof dispatchResults[number]; readonly remaining: number};

const requestArbitrary = fc.record({
	key: fc.constantFrom('a', 'a', 'a', 'b'), dispatchResult: fc.constantFrom(...dispatchResults), remaining: fc.integer({min: 1, max: 5000}),
});

/** Serves each request on a host of its own, in the order and with the faults that fast-check chooses. */
async function runRequests(scheduler: fc.Scheduler, requests: readonly Request[], behaviors: ReadonlyArray<typeof callBehaviors[number]>) {
	let now = 0;
	const runs: string[] = [];
	const responses: Array<{key: string; body: string}> = [];
	const table = new FakeTable(async () => scheduler.schedule(Promise.resolve()));
	table.nextBehaviors.push(...behaviors);
	const serve = async ({key, dispatchResult, remaining}: Request, index: number) => {
		const claims = new TableClaims({
			table,
			objects: unusedObjects,
			host: `host-${index}`,
			incarnation: String(index),
			getWriteRate: () => 1000,
			clock: () => now,
			async wait(milliseconds, signal) {
				await scheduler.schedule(Promise.resolve());
				now += signal?.aborted ? 0 : milliseconds;
			},
		});
		const claimed = await claims.claim({
			service: 'payments', key, fingerprint: 'f', outcomeDays: 1,
		}, remaining);
		if (claimed.isErr()) {
			return;
		}

		if (claimed.value.kind === 'done') {
			responses.push({key, body: Buffer.from(claimed.value.outcome.body).toString()});
			return;
		}

		const {claim} = claimed.value;
		if (dispatchResult === 'killed-before' || !claims.recordDispatch(claim)) {
			return;
		}

		await scheduler.schedule(Promise.resolve());
		if (dispatchResult === 'not-run') {
			claims.recordNotRun(claim);
			await claims.remove(claim);
			return;
		}

		runs.push(key);
		if (dispatchResult === 'answered') {
			responses.push({key, body: String(index)});
			await claims.storeOutcome(claim, {status: 200, headers: {}, body: Buffer.from(String(index))});
		}
	};

	const served = Promise.all(requests.map(serve));
	await scheduler.waitFor(served);
	return {runs, responses};
}

test('a key runs at most once and has one response, even if calls are lost, late or refused, in any order', async t => {
	const property = fc.asyncProperty(
		fc.scheduler(),
		fc.array(requestArbitrary, {minLength: 2, maxLength: 8}),
		fc.array(fc.constantFrom(...callBehaviors), {maxLength: 30}),
		async (scheduler, requests, behaviors) => {
			const {runs, responses} = await runRequests(scheduler, requests, behaviors);
			for (const key of ['a', 'b']) {
				const bodies = new Set(responses.filter(response => response.key === key).map(({body}) => body));
				if (runs.filter(run => run === key).length > 1 || bodies.size > 1) {
					return false;
				}
			}

			return true;
		},
	);
	const details = await fc.check(property, {numRuns: 500});
	t.comment(`seed ${details.seed}`);
	t.notOk(details.failed, fc.defaultReportMessage(details) ?? 'no counterexample');
	t.same(getViolationCounts(), {});
});
