import fc from 'fast-check';
import {test} from 'tap';
import {listViolations} from '@tanagerrail/telemetry';
import {TableClaims} from '../src/table-claims.js';
import {callFates, FakeTable, unusedObjects} from './fake-table.js';

/** How an endpoint answers one dispatch; `killed` ends the host before it can store or remove anything. */
const ends = ['answered', 'not-run', 'not-run', 'lost', 'killed', 'killed-before'] as const;

type Request = {readonly key: string; readonly end: typeof ends[number]; readonly remaining: number};

const requestArbitrary = fc.record({
	key: fc.constantFrom('a', 'a', 'a', 'b'), end: fc.constantFrom(...ends), remaining: fc.integer({min: 1, max: 5000}),
});

/** Runs requests, each on a host of its own, in the order and with the faults that fast-check picks. */
async function runRequests(scheduler: fc.Scheduler, requests: readonly Request[], fates: ReadonlyArray<typeof callFates[number]>) {
	let now = 0;
	const runs: string[] = [];
	const answers: Array<{key: string; body: string}> = [];
	const table = new FakeTable(async () => scheduler.schedule(Promise.resolve()));
	table.fates.push(...fates);
	const serve = async ({key, end, remaining}: Request, index: number) => {
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
			answers.push({key, body: Buffer.from(claimed.value.outcome.body).toString()});
			return;
		}

		const {claim} = claimed.value;
		if (end === 'killed-before' || !claims.recordDispatch(claim)) {
			return;
		}

		await scheduler.schedule(Promise.resolve());
		if (end === 'not-run') {
			claims.recordNotRun(claim);
			await claims.remove(claim);
			return;
		}

		runs.push(key);
		if (end === 'answered') {
			answers.push({key, body: String(index)});
			await claims.finish(claim, {status: 200, headers: {}, body: Buffer.from(String(index))});
		}
	};

	const served = Promise.all(requests.map(serve));
	await scheduler.waitFor(served);
	return {runs, answers};
}

test('a key runs at most once and has one response, whatever is lost, late or refused in whatever order', async t => {
	const property = fc.asyncProperty(
		fc.scheduler(),
		fc.array(requestArbitrary, {minLength: 2, maxLength: 8}),
		fc.array(fc.constantFrom(...callFates), {maxLength: 30}),
		async (scheduler, requests, fates) => {
			const {runs, answers} = await runRequests(scheduler, requests, fates);
			for (const key of ['a', 'b']) {
				const bodies = new Set(answers.filter(answer => answer.key === key).map(({body}) => body));
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
	t.same(listViolations(), {});
});
