import type {Change} from './change.js';
import {ChangeKind} from './change-kind.js';

/** Sentences about changes; `{name}` is replaced by the change's member of that name. */
export const changeMessages: Readonly<Record<ChangeKind, string>> = {
	[ChangeKind.description]: 'The description {field} of {subject} changes from {before} to {after}; no request is treated differently.',
	[ChangeKind.serviceAdded]: 'Service {subject} is added.',
	[ChangeKind.serviceRemoved]: 'Service {subject} is removed; its new requests are refused, those in progress finish.',
	[ChangeKind.slots]: 'Each server of {subject} runs {after} requests at a time, before {before}.',
	[ChangeKind.connections]: 'Each server of {subject} takes {after} connections, before {before}.',
	[ChangeKind.longWorkShare]: 'Long work of {subject} may hold a share of {after} of the slots, before {before}.',
	[ChangeKind.waitLimit]: 'Requests of {subject} may wait for a share of {after} of their deadline, before {before}.',
	[ChangeKind.retryBudget]: 'Requests of {subject} get {after} further attempts on average, before {before}.',
	[ChangeKind.hedgeBudget]: 'A share of {after} of the requests of {subject} may be hedged, before {before}.',
	[ChangeKind.keyPolicy]: 'Work of {subject} without an Idempotency-Key: {after}, before {before}.',
	[ChangeKind.outcomeDays]: 'Outcomes of {subject} are kept for {after} days, before {before}.',
	[ChangeKind.loadReport]: 'The load report of {subject} is read from {after}, before {before}.',
	[ChangeKind.classAdded]: 'Work class {subject} is added.',
	[ChangeKind.classRemoved]: 'Work class {subject} is removed.',
	[ChangeKind.classKind]: 'Work class {subject} counts as {after} work, before {before}.',
	[ChangeKind.priority]: 'Work class {subject} has priority {after}, before {before}.',
	[ChangeKind.duration]: 'The {field} of {subject} is {after} ms, before {before} ms.',
	[ChangeKind.deadline]: 'The deadline of {subject} is {after} ms, before {before} ms.',
	[ChangeKind.hedging]: 'Hedging of {subject} is {after}, before {before}.',
	[ChangeKind.routeAdded]: 'Requests {subject} are accepted as class {after}.',
	[ChangeKind.routeRemoved]: 'Requests {subject} are refused, before class {before}.',
	[ChangeKind.routeClass]: 'Requests {subject} belong to class {after}, before {before}.',
	[ChangeKind.routeOrder]: 'The order in which requests of {subject} are matched changes.',
	[ChangeKind.idempotence]: 'Requests {subject} are declared idempotent: {after}, before {before}.',
	[ChangeKind.promise]: 'The promised {field} of {subject} is {after}, before {before}.',
	[ChangeKind.measuringBudget]: 'The measuring budget {field} of each service is {after}, before {before}.',
	[ChangeKind.tableWrites]: 'All hosts together send {after} writes a second to the table, before {before}.',
	[ChangeKind.routineRules]: 'The changes that are routine are {after}, before {before}.',
};

/**
 * Describes a change in plain words.
 *
 * @param change - The change.
 * @returns One sentence.
 */
export function formatChange(change: Change): string {
	return changeMessages[change.kind].replaceAll(/\{(\w+)\}/gv, (placeholder, name: string) => name in change
		? String(change[name as keyof Change] ?? 'none')
		: placeholder);
}
