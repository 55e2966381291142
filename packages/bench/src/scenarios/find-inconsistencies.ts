import {resultCodes} from '@tanagerrail/results';
import {RunEnd, type EndpointRun} from '@tanagerrail/stand-ins';
import type {Fleet} from './fleet.js';
import type {SentRequest} from './sent-request.js';

/** A disagreement between what callers were told and what the stand-ins' logs show. */
export type Inconsistency = {
	/** Invariant of section 1.2 of docs/design.md that does not hold. */
	readonly kind: 'foreign-response' | 'not-run-ran' | 'ran-twice' | 'invariant-violated' | 'internal-error' | 'revision-reverted';
	readonly reason: string;
};

/** What is compared. */
export type Evidence = {
	readonly sent: readonly SentRequest[];
	readonly runs: readonly EndpointRun[];
	/** Log lines of the entries. */
	readonly logs: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/**
 * Collects the evidence of a run.
 *
 * @param fleet - The fleet.
 * @param sent - What callers sent.
 * @returns Requests, runs of all endpoints and log lines of all entries.
 */
export function collectEvidence(fleet: Fleet, sent: readonly SentRequest[]): Evidence {
	return {
		sent,
		runs: [...fleet.endpoints.values()].flatMap(({runs}) => [...runs]),
		logs: [...fleet.entries.keys()].flatMap(id => fleet.readLog(id)),
	};
}

/**
 * Compares what callers were told with the stand-ins' logs.
 *
 * @param evidence - Requests, runs and log lines.
 * @returns One entry for each disagreement.
 */
export function findInconsistencies({sent, runs, logs}: Evidence): Inconsistency[] {
	const started = runs.filter(({startedAt}) => startedAt !== undefined);
	const startedIds = new Set(started.map(({requestId}) => requestId));
	return [
		...findForeign(sent),
		...sent.filter(({outcome, id}) => outcome === 'not-run' && startedIds.has(id)).map(({plan, code}) => (
			{kind: 'not-run-ran' as const, reason: `${plan.method} ${plan.target} was refused with code ${code} and ran`}
		)),
		...findRepeated(started, sent),
		...findReverted(logs),
		...logs.filter(({code}) => code === resultCodes['invariant-violated'].number).map(({host, detail}) => (
			{kind: 'invariant-violated' as const, reason: `${String(host)}: ${String(detail)}`}
		)),
		...logs.filter(({event}) => event === 'internal-error' || event === 'unparsed').map(({host, reason, text}) => (
			{kind: 'internal-error' as const, reason: `${String(host)}: ${String(reason ?? text)}`}
		)),
	];
}

function findForeign(sent: readonly SentRequest[]): Inconsistency[] {
	return sent.filter(({isOwn}) => isOwn === false).map(({plan, status}) => (
		{kind: 'foreign-response', reason: `${plan.method} ${plan.target} got status ${status} with the content of another request or a part of it`}
	));
}

/** Each keyed request may begin to run once; a run that the endpoint refused did not begin. */
function findRepeated(started: readonly EndpointRun[], sent: readonly SentRequest[]): Inconsistency[] {
	const keyed = new Set(sent.map(({plan}) => plan.key).filter(key => key !== undefined));
	const counts = new Map<string, number>();
	for (const {key, end} of started) {
		if (key !== undefined && keyed.has(key) && end !== RunEnd.refused) {
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}
	}

	return [...counts].filter(([, count]) => count > 1).map(([key, count]) => ({kind: 'ran-twice', reason: `key ${key} ran ${count} times`}));
}

/** The revisions that a run of a host puts in force never decrease; each run logs its start first. */
function findReverted(logs: Evidence['logs']): Inconsistency[] {
	const revisions = new Map<unknown, number>();
	const reverted: Inconsistency[] = [];
	for (const {event, host, revision} of logs) {
		if (event !== 'configuration-applied' && event !== 'host-started') {
			continue;
		}

		const former = event === 'host-started' ? 0 : revisions.get(host) ?? 0;
		if (typeof revision === 'number' && revision < former) {
			reverted.push({kind: 'revision-reverted', reason: `${String(host)} put revision ${revision} in force after ${former}`});
		}

		revisions.set(host, typeof revision === 'number' ? revision : former);
	}

	return reverted;
}
