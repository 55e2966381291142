import {setTimeout} from 'node:timers/promises';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import type {TableCondition, TableService, TableWrite} from '@tanagerrail/platform';
import {createFailure, type Failure} from '@tanagerrail/results';
import {approvalPrefix, decodeApproval, encodeApproval} from './approval-item.js';
import type {ApprovalRule} from './approval-rule.js';
import {
	currentKey, decodeRevision, encodeRevision, getHistoryKey, historyPrefix, type RevisionRecord,
} from './revision-record.js';

/** An approval rule that a change relies on or extends. */
export type RelatedApproval = {
	/** The rule as it was read; nothing when there was none. */
	readonly before: ApprovalRule | undefined;
	/** The rule as it is kept. */
	readonly after: ApprovalRule;
};

/** A change to be accepted. */
export type ProposedRevision = {
	/** The change; its number is one above the revision on which it is based. */
	readonly record: RevisionRecord;
	readonly approvals: readonly RelatedApproval[];
};

/** Options of {@link RevisionStore}. */
export type RevisionStoreOptions = {
	readonly table: TableService;
	/** Attempts to settle a write whose response was lost. */
	readonly settleAttempts: number;
	/** Time before the next attempt, in milliseconds. */
	readonly settleMilliseconds: number;
	/** Waits before the next attempt. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

/** Defaults of {@link RevisionStoreOptions}. */
export const defaultRevisionStoreOptions = {settleAttempts: 5, settleMilliseconds: 100, wait: async (milliseconds: number) => setTimeout(milliseconds)};

/** Accepted changes and approval rules in the table service. */
export class RevisionStore {
	readonly #options: RevisionStoreOptions;

	constructor(options: Partial<RevisionStoreOptions> & Pick<RevisionStoreOptions, 'table'>) {
		this.#options = {...defaultRevisionStoreOptions, ...options};
	}

	/**
	 * Reads the latest accepted change.
	 *
	 * @returns The change, or nothing before the first; failures of the table service.
	 */
	readCurrent(): ResultAsync<RevisionRecord | undefined, Failure> {
		return this.#read(currentKey);
	}

	/**
	 * Reads one accepted change.
	 *
	 * @param revision - Its number.
	 * @returns The change; failures `revision-unknown` and those of the table service.
	 */
	readRevision(revision: number): ResultAsync<RevisionRecord, Failure> {
		return this.#read(getHistoryKey(revision)).andThen(record => record ? ok(record) : err(createFailure('revision-unknown', {revision})));
	}

	/**
	 * Lists all accepted changes.
	 *
	 * @returns The changes in the order of their numbers; failures of the table service.
	 */
	listHistory(): ResultAsync<RevisionRecord[], Failure> {
		return this.#options.table.list(historyPrefix).map(items => items.flatMap(item => decodeRevision(item) ?? []));
	}

	/**
	 * Lists the approval rules.
	 *
	 * @returns The rules by kind; failures of the table service.
	 */
	listApprovals(): ResultAsync<ApprovalRule[], Failure> {
		return this.#options.table.list(approvalPrefix).map(items => items.flatMap(item => decodeApproval(item) ?? []));
	}

	/**
	 * Removes an approval rule, so that its changes are asked about again.
	 *
	 * @param kind - Kind of the rule.
	 * @returns Nothing; failures `approval-unknown`, `approval-conflict` and those of the table service.
	 */
	revokeApproval(kind: string): ResultAsync<void, Failure> {
		const key = `${approvalPrefix}${kind}`;
		return this.#options.table.get(key).andThen(item => {
			const token = item?.attributes.token;
			if (token === undefined) {
				return new ResultAsync(Promise.resolve(err(createFailure('approval-unknown', {kind}))));
			}

			return this.#options.table.write({kind: 'delete', key, condition: {kind: 'equals', attribute: 'token', value: token}})
				.mapErr(failure => failure.id === 'table-condition-failed' ? createFailure('approval-conflict', {kind}) : failure);
		});
	}

	/**
	 * Accepts a change by compare-and-set on the current revision, together with its approvals.
	 *
	 * @param proposed - The change.
	 * @returns The accepted change; failures `revision-conflict` (another change was accepted first), `approval-conflict`
	 * (a rule changed meanwhile), `table-ambiguous` when it cannot be settled, and those of the table service.
	 */
	accept(proposed: ProposedRevision): ResultAsync<RevisionRecord, Failure> {
		return new ResultAsync(this.#accept(proposed));
	}

	async #accept(proposed: ProposedRevision): Promise<Result<RevisionRecord, Failure>> {
		const {record} = proposed;
		const {
			table, settleAttempts, settleMilliseconds, wait,
		} = this.#options;
		const writes = buildWrites(proposed);
		let failure = createFailure('table-ambiguous', {key: currentKey});
		let isAmbiguous = false;
		for (let attempt = 0; attempt <= settleAttempts; attempt++) {
			const written = await table.transact(writes);
			if (written.isOk()) {
				return ok(record);
			}

			failure = written.error;
			if (failure.id === 'table-condition-failed') {
				return this.#settle(proposed);
			}

			// After a lost response the write may still take effect later. Sending it again is safe, because the conditions
			// admit it once, and only a failed condition proves that reading back gives the final outcome.
			isAmbiguous ||= failure.id === 'table-ambiguous';
			if (!isAmbiguous) {
				return err(failure);
			}

			const found = await this.#read(getHistoryKey(record.revision));
			if (found.isOk() && found.value) {
				return decideOwner(found.value, record);
			}

			await wait(settleMilliseconds * (attempt + 1));
		}

		return err(isAmbiguous ? createFailure('table-ambiguous', {key: currentKey}) : failure);
	}

	/** Finds out why the conditions do not hold. */
	async #settle({record, approvals}: ProposedRevision): Promise<Result<RevisionRecord, Failure>> {
		const found = await this.#read(getHistoryKey(record.revision));
		if (found.isErr()) {
			return err(createFailure('table-ambiguous', {key: currentKey}));
		}

		if (found.value) {
			return decideOwner(found.value, record);
		}

		const current = await this.readCurrent();
		if (current.isErr()) {
			return err(current.error);
		}

		return (current.value?.revision ?? 0) === record.revision - 1
			? err(createFailure('approval-conflict', {kind: approvals.map(({after}) => after.kind).join(', ')}))
			: err(createConflict(current.value, record));
	}

	#read(key: string): ResultAsync<RevisionRecord | undefined, Failure> {
		return this.#options.table.get(key).andThen(item => {
			const record = item && decodeRevision(item);
			return item && !record ? err(createFailure('table-unavailable', {reason: `item ${key} is malformed`})) : ok(record);
		});
	}
}

function buildWrites({record, approvals}: ProposedRevision): TableWrite[] {
	const condition: TableCondition = record.revision === 1
		? {kind: 'absent'}
		: {kind: 'equals', attribute: 'revision', value: String(record.revision - 1)};
	return [
		{kind: 'put', item: encodeRevision(currentKey, record), condition},
		{kind: 'put', item: encodeRevision(getHistoryKey(record.revision), record), condition: {kind: 'absent'}},
		// A rule that the change relies on is written back unchanged, so that its revocation at the same moment is noticed.
		...approvals.map(({before, after}): TableWrite => ({
			kind: 'put', item: encodeApproval(after), condition: before ? {kind: 'equals', attribute: 'token', value: before.token} : {kind: 'absent'},
		})),
	];
}

function decideOwner(found: RevisionRecord, own: RevisionRecord): Result<RevisionRecord, Failure> {
	return found.token === own.token ? ok(found) : err(createConflict(found, own));
}

function createConflict(other: RevisionRecord | undefined, own: RevisionRecord): Failure {
	return createFailure('revision-conflict', {revision: other?.revision ?? own.revision, by: other?.by ?? 'nobody', at: other?.at ?? 'unknown'});
}
