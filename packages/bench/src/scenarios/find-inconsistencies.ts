import {resultCodes} from '@tanagerrail/results';
import {RequestEnd, type EndpointRequestRecord} from '@tanagerrail/stand-ins';
import type {Fleet} from './fleet.js';
import type {SentRequest} from './sent-request.js';

/** A discrepancy between the responses that callers received and the logs of endpoint stand-ins and entry hosts. */
export type Inconsistency = {
	/** Invariant of section 1.2 of docs/design.md that was violated. */
	readonly kind: 'foreign-response' | 'not-run-ran' | 'ran-twice' | 'invariant-violated' | 'internal-error' | 'revision-reverted';
	readonly reason: string;
};

/** Records of a run that {@link findInconsistencies} compares. */
export type RunRecords = {
	readonly sent: readonly SentRequest[];
	readonly runs: readonly EndpointRequestRecord[];
	/** Log lines of the entry hosts. */
	readonly logs: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/**
 * Collects the records of a run.
 *
 * @param fleet - The fleet.
 * @param sent - Requests sent by callers.
 * @returns Requests, runs of all endpoints and log lines of all entry hosts.
 */
export function collectRunRecords(fleet: Fleet, sent: readonly SentRequest[]): RunRecords {
	return {
		sent,
		runs: [...fleet.endpoints.values()].flatMap(({runs}) => [...runs]),
		logs: [...fleet.entries.keys()].flatMap(id => fleet.readLog(id)),
	};
}

/**
 * Compares the responses that callers received with the logs of endpoint stand-ins and entry hosts.
 *
 * @param records - Requests, runs and log lines.
 * @returns One item for each discrepancy.
 */
export function findInconsistencies({sent, runs, logs}: RunRecords): Inconsistency[] {
	const started = runs.filter(({startedAt}) => startedAt !== undefined);
	const startedIds = new Set(started.map(({requestId}) => requestId));
	return [
		...findForeignResponses(sent),
		...sent.filter(({outcome, id}) => outcome === 'not-run' && startedIds.has(id)).map(({plan, code}) => (
			{kind: 'not-run-ran' as const, reason: `${plan.method} ${plan.target} was refused with code ${code} as not run, but an endpoint ran it`}
		)),
		...findRepeatedRuns(started, sent),
		...findRevertedRevisions(logs),
		...logs.filter(({code}) => code === resultCodes['invariant-violated'].number).map(({host, detail}) => (
			{kind: 'invariant-violated' as const, reason: `${String(host)}: ${String(detail)}`}
		)),
		...logs.filter(({event}) => event === 'internal-error' || event === 'unparsed').map(({host, reason, text}) => (
			{kind: 'internal-error' as const, reason: `${String(host)}: ${String(reason ?? text)}`}
		)),
	];
}

function findForeignResponses(sent: readonly SentRequest[]): Inconsistency[] {
	return sent.filter(({hasExpectedContent}) => hasExpectedContent === false).map(({plan, status}) => (
		{kind: 'foreign-response', reason: `${plan.method} ${plan.target} got status ${status} with an incomplete body or the body of another request`}
	));
}

/** Finds keys whose request started to run more than once; runs that the endpoint refused do not count. */
function findRepeatedRuns(started: readonly EndpointRequestRecord[], sent: readonly SentRequest[]): Inconsistency[] {
	const keyed = new Set(sent.map(({plan}) => plan.key).filter(key => key !== undefined));
	const counts = new Map<string, number>();
	for (const {key, end} of started) {
		if (key !== undefined && keyed.has(key) && end !== RequestEnd.refused) {
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}
	}

	return [...counts].filter(([, count]) => count > 1).map(([key, count]) => ({kind: 'ran-twice', reason: `key ${key} ran ${count} times`}));
}

/** Finds hosts that applied an older revision than before; `host-started` begins a new run of a host. */
function findRevertedRevisions(logs: RunRecords['logs']): Inconsistency[] {
	const revisions = new Map<unknown, number>();
	const reverted: Inconsistency[] = [];
	for (const {event, host, revision} of logs) {
		if (event !== 'configuration-applied' && event !== 'host-started') {
			continue;
		}

		const previous = event === 'host-started' ? 0 : revisions.get(host) ?? 0;
		if (typeof revision === 'number' && revision < previous) {
			reverted.push({kind: 'revision-reverted', reason: `${String(host)} applied revision ${revision} after revision ${previous}`});
		}

		revisions.set(host, typeof revision === 'number' ? revision : previous);
	}

	return reverted;
}
