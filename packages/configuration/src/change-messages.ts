import type {Change} from './change.js';
import {ChangeKind} from './change-kind.js';

/** Message templates of changes; `{name}` is replaced by the change's property of that name. */
export const changeMessages: Readonly<Record<ChangeKind, string>> = {
	[ChangeKind.description]: 'The description {field} of {subject} changes from {before} to {after}; requests are not affected.',
	[ChangeKind.serviceAdded]: 'Service {subject} is added.',
	[ChangeKind.serviceRemoved]: 'Service {subject} is removed; new requests are refused, requests in progress are completed.',
	[ChangeKind.slots]: 'The concurrent requests per server of {subject} change from {before} to {after}.',
	[ChangeKind.connections]: 'The connections that each server of {subject} accepts change from {before} to {after}.',
	[ChangeKind.longWorkShare]: 'The share of slots available to long work of {subject} changes from {before} to {after}.',
	[ChangeKind.waitLimit]: 'The longest wait of requests of {subject}, as a fraction of their deadline, changes from {before} to {after}.',
	[ChangeKind.retryBudget]: 'The average number of retries per request of {subject} changes from {before} to {after}.',
	[ChangeKind.hedgeBudget]: 'The share of requests of {subject} that may be hedged changes from {before} to {after}.',
	[ChangeKind.keyPolicy]: 'The handling of non-idempotent requests of {subject} without an Idempotency-Key changes from {before} to {after}.',
	[ChangeKind.outcomeDays]: 'The retention of outcomes of {subject} changes from {before} to {after} days.',
	[ChangeKind.loadReport]: 'The path of the load report of {subject} changes from {before} to {after}.',
	[ChangeKind.classAdded]: 'Work class {subject} is added.',
	[ChangeKind.classRemoved]: 'Work class {subject} is removed.',
	[ChangeKind.classKind]: 'The kind of work class {subject} changes from {before} to {after}.',
	[ChangeKind.priority]: 'The priority of work class {subject} changes from {before} to {after}.',
	[ChangeKind.duration]: 'The {field} of {subject} changes from {before} ms to {after} ms.',
	[ChangeKind.deadline]: 'The deadline of {subject} changes from {before} ms to {after} ms.',
	[ChangeKind.hedging]: 'Hedging of {subject} changes from {before} to {after}.',
	[ChangeKind.routeAdded]: 'Requests {subject} are accepted as class {after}.',
	[ChangeKind.routeRemoved]: 'Requests {subject} of class {before} are no longer accepted.',
	[ChangeKind.routeClass]: 'The class of requests {subject} changes from {before} to {after}.',
	[ChangeKind.routeOrder]: 'The order in which requests of {subject} are matched changes.',
	[ChangeKind.idempotence]: 'The idempotence of requests {subject} changes from {before} to {after}.',
	[ChangeKind.promise]: 'The promised {field} of {subject} changes from {before} to {after}.',
	[ChangeKind.measuringBudget]: 'The measuring budget {field} of each service changes from {before} to {after}.',
	[ChangeKind.tableWrites]: 'The table writes per second of all hosts together change from {before} to {after}.',
	[ChangeKind.routineRules]: 'The list of routine changes is replaced: {after}, previously {before}.',
};

/**
 * Formats a change as a message.
 *
 * @param change - The change.
 * @returns One sentence.
 */
export function formatChange(change: Change): string {
	return changeMessages[change.kind].replaceAll(/\{(\w+)\}/gv, (placeholder, name: string) => name in change
		? String(change[name as keyof Change] ?? 'none')
		: placeholder);
}
