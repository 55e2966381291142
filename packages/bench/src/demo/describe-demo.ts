import {collectRunRecords, findInconsistencies, type SentRequest} from '../scenarios/index.js';
import {resendGroup} from './demo-plans.js';
import type {DemoRun} from './run-demo.js';

/** Text of the report and result of a demo run. */
export type DemoReport = {readonly text: string; readonly isSuccessful: boolean};

type Row = readonly [string, string | number, string | number, string | number, string | number, string | number];

const maxListedResponses = 5;

const header: Row = ['work', 'sent', 'answered', 'refused', 'broken', 'ran'];

/**
 * Formats a demo run as a table and checks its responses against the logs of the stand-ins.
 *
 * @param run - The run.
 * @returns The text, and whether no request was lost, run twice or answered with the response of another one.
 */
export function describeDemo({fleet, sent, hasEntryExitedCleanly, runsAfterLeaving, seconds}: DemoRun): DemoReport {
	const records = collectRunRecords(fleet, sent);
	const started = records.runs.filter(({startedAt}) => startedAt !== undefined);
	const groups = [...new Set(sent.map(({plan}) => plan.group))];
	const rows = groups.map((group): Row => {
		const groupRequests = sent.filter(({plan}) => plan.group === group);
		const ids = new Set(groupRequests.map(({id}) => id));
		return [
			group,
			groupRequests.length,
			groupRequests.filter(({hasExpectedContent}) => hasExpectedContent).length,
			groupRequests.filter(({outcome}) => outcome !== undefined).length,
			groupRequests.filter(({error}) => error !== undefined).length,
			started.filter(({requestId}) => ids.has(requestId ?? '')).length,
		];
	});
	const resentKeys = new Set(sent.filter(({plan}) => plan.group === resendGroup).map(({plan}) => plan.key));
	const executedKeys = new Set(started.filter(({key}) => resentKeys.has(key)).map(({key}) => key));
	const faults = [
		...findInconsistencies(records).map(({kind, reason}) => `${kind}: ${reason}`),
		...sent.filter(({hasExpectedContent}) => hasExpectedContent === undefined).slice(0, maxListedResponses).map(request => describeMissingResponse(request)),
		...(executedKeys.size === resentKeys.size ? [] : [`${resentKeys.size} payments were sent, but ${executedKeys.size} were run`]),
		...(hasEntryExitedCleanly ? [] : ['the stopped entry host did not exit with code 0']),
		...(runsAfterLeaving === 0 ? [] : [`the drained endpoint received ${runsAfterLeaving} requests after it had left`]),
	];
	return {text: [...formatTable([header, ...rows]), '', ...describeResult(faults, seconds), ''].join('\n'), isSuccessful: faults.length === 0};
}

function describeResult(faults: readonly string[], seconds: number): string[] {
	const time = `${seconds.toFixed(1)} s`;
	return faults.length === 0
		? [`One entry host and one endpoint were stopped during the run. No request was lost, run twice or answered with the response of another one (${time}).`]
		: [`The run failed (${time}):`, ...faults.map(fault => `- ${fault}`)];
}

function describeMissingResponse({plan, through, status, code, error}: SentRequest): string {
	return `no response to ${plan.method} ${plan.target} through ${through}: ${error ?? `status ${status}, code ${code}`}`;
}

function formatTable(rows: readonly Row[]): string[] {
	const widths = header.map((_, column) => Math.max(...rows.map(row => String(row[column]).length)));
	return rows.map(row => row.map((cell, column) => column === 0 ? String(cell).padEnd(widths[column]!) : String(cell).padStart(widths[column]!)).join('  '));
}
