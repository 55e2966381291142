import {collectEvidence, findInconsistencies, type SentRequest} from '../scenarios/index.js';
import {resendGroup} from './demo-plans.js';
import type {DemoRun} from './run-demo.js';

/** Report of a demo run. */
export type DemoReport = {readonly text: string; readonly isGood: boolean};

type Row = readonly [string, string | number, string | number, string | number, string | number, string | number];

const shownLosses = 5;

const header: Row = ['work', 'sent', 'answered', 'refused', 'broken', 'ran'];

/**
 * Describes a demo run as a table and checks it against the logs of the stand-ins.
 *
 * @param run - The run.
 * @returns The text, and whether nothing was lost, doubled or mixed up.
 */
export function describeDemo({fleet, sent, isEntryStopped, lateRuns, seconds}: DemoRun): DemoReport {
	const evidence = collectEvidence(fleet, sent);
	const started = evidence.runs.filter(({startedAt}) => startedAt !== undefined);
	const groups = [...new Set(sent.map(({plan}) => plan.group))];
	const rows = groups.map((group): Row => {
		const own = sent.filter(({plan}) => plan.group === group);
		const ids = new Set(own.map(({id}) => id));
		return [
			group,
			own.length,
			own.filter(({isOwn}) => isOwn).length,
			own.filter(({outcome}) => outcome !== undefined).length,
			own.filter(({error}) => error !== undefined).length,
			started.filter(({requestId}) => ids.has(requestId ?? '')).length,
		];
	});
	const payments = new Set(sent.filter(({plan}) => plan.group === resendGroup).map(({plan}) => plan.key));
	const paid = new Set(started.filter(({key}) => payments.has(key)).map(({key}) => key));
	const faults = [
		...findInconsistencies(evidence).map(({kind, reason}) => `${kind}: ${reason}`),
		...sent.filter(({isOwn}) => isOwn === undefined).slice(0, shownLosses).map(request => describeLoss(request)),
		...(paid.size === payments.size ? [] : [`${payments.size} payments were sent, ${paid.size} ran`]),
		...(isEntryStopped ? [] : ['the stopped entry host did not end with exit code 0']),
		...(lateRuns === 0 ? [] : [`the leaving endpoint received ${lateRuns} requests after it had left`]),
	];
	return {text: [...formatTable([header, ...rows]), '', ...describeResult(faults, seconds), ''].join('\n'), isGood: faults.length === 0};
}

function describeResult(faults: readonly string[], seconds: number): string[] {
	const time = `${seconds.toFixed(1)} s`;
	return faults.length === 0
		? [`One entry host and one endpoint stopped meanwhile. Nothing was lost, doubled or mixed up (${time}).`]
		: [`The run failed (${time}):`, ...faults.map(fault => `- ${fault}`)];
}

function describeLoss({plan, through, status, code, error}: SentRequest): string {
	return `no response to ${plan.method} ${plan.target} through ${through}: ${error ?? `status ${status}, code ${code}`}`;
}

function formatTable(rows: readonly Row[]): string[] {
	const widths = header.map((_, column) => Math.max(...rows.map(row => String(row[column]).length)));
	return rows.map(row => row.map((cell, column) => column === 0 ? String(cell).padEnd(widths[column]!) : String(cell).padStart(widths[column]!)).join('  '));
}
