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

/** An approval rule on which a change depends or which it extends. */
export type RelatedApproval = {
	/** The rule as it was read; absent if there was none. */
	readonly before: ApprovalRule | undefined;
	/** The rule to write. */
	readonly after: ApprovalRule;
};

/** A change with the approval rules to write along with it. */
export type ProposedRevision = {
	/** The change; its revision number is one higher than that of the revision on which it is based. */
	readonly record: RevisionRecord;
	readonly approvals: readonly RelatedApproval[];
};

/** Options of {@link RevisionStore}. */
export type RevisionStoreOptions = {
	readonly table: TableService;
	/** Maximum number of retries of a write whose response was lost. */
	readonly maximumRetries: number;
	/** Delay before the first retry, in milliseconds; it grows linearly with the number of retries. */
	readonly retryDelayMilliseconds: number;
	/** Waits for the given time. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

/** Defaults of {@link RevisionStoreOptions}. */
export const defaultRevisionStoreOptions = {maximumRetries: 5, retryDelayMilliseconds: 100, wait: async (milliseconds: number) => setTimeout(milliseconds)};

/** Stores accepted changes and approval rules in the table service. */
export class RevisionStore {
	readonly #options: RevisionStoreOptions;

	constructor(options: Partial<RevisionStoreOptions> & Pick<RevisionStoreOptions, 'table'>) {
		this.#options = {...defaultRevisionStoreOptions, ...options};
	}

	/**
	 * Reads the latest accepted change.
	 *
	 * @returns The change, or `undefined` if there is none yet; failures of the table service.
	 */
	readCurrent(): ResultAsync<RevisionRecord | undefined, Failure> {
		return this.#read(currentKey);
	}

	/**
	 * Reads one accepted change.
	 *
	 * @param revision - Revision number of the change.
	 * @returns The change; `revision-unknown` or failures of the table service.
	 */
	readRevision(revision: number): ResultAsync<RevisionRecord, Failure> {
		return this.#read(getHistoryKey(revision)).andThen(record => record ? ok(record) : err(createFailure('revision-unknown', {revision})));
	}

	/**
	 * Lists all accepted changes.
	 *
	 * @returns The changes in order of their revision numbers; failures of the table service.
	 */
	listHistory(): ResultAsync<RevisionRecord[], Failure> {
		return this.#options.table.list(historyPrefix).map(items => items.flatMap(item => decodeRevision(item) ?? []));
	}

	/**
	 * Lists the approval rules.
	 *
	 * @returns The rules, sorted by kind; failures of the table service.
	 */
	listApprovals(): ResultAsync<ApprovalRule[], Failure> {
		return this.#options.table.list(approvalPrefix).map(items => items.flatMap(item => decodeApproval(item) ?? []));
	}

	/**
	 * Removes an approval rule, so that changes of its kind need a new approval.
	 *
	 * @param kind - Approval kind of the rule.
	 * @returns Nothing; `approval-unknown`, `approval-conflict` or failures of the table service.
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
	 * Stores a change and its approval rules in one transaction, with a compare-and-set on the current revision.
	 *
	 * @param proposed - The change.
	 * @returns The accepted change; `revision-conflict` (another change was accepted first), `approval-conflict` (a rule was
	 * changed concurrently), `table-ambiguous` (the result of the write stays unknown) or failures of the table service.
	 */
	accept(proposed: ProposedRevision): ResultAsync<RevisionRecord, Failure> {
		return new ResultAsync(this.#accept(proposed));
	}

	async #accept(proposed: ProposedRevision): Promise<Result<RevisionRecord, Failure>> {
		const {record} = proposed;
		const {
			table, maximumRetries, retryDelayMilliseconds, wait,
		} = this.#options;
		const writes = buildWrites(proposed);
		let failure = createFailure('table-ambiguous', {key: currentKey});
		let isAmbiguous = false;
		for (let attempt = 0; attempt <= maximumRetries; attempt++) {
			const written = await table.transact(writes);
			if (written.isOk()) {
				return ok(record);
			}

			failure = written.error;
			if (failure.id === 'table-condition-failed') {
				return this.#resolveConditionFailure(proposed);
			}

			// After a lost response the write may still take effect later. Retrying is safe because the conditions let it succeed
			// only once, and only after a failed condition does reading back give the final result.
			isAmbiguous ||= failure.id === 'table-ambiguous';
			if (!isAmbiguous) {
				return err(failure);
			}

			const found = await this.#read(getHistoryKey(record.revision));
			if (found.isOk() && found.value) {
				return resolveByToken(found.value, record);
			}

			await wait(retryDelayMilliseconds * (attempt + 1));
		}

		return err(isAmbiguous ? createFailure('table-ambiguous', {key: currentKey}) : failure);
	}

	/** Determines why the write conditions failed. */
	async #resolveConditionFailure({record, approvals}: ProposedRevision): Promise<Result<RevisionRecord, Failure>> {
		const found = await this.#read(getHistoryKey(record.revision));
		if (found.isErr()) {
			return err(createFailure('table-ambiguous', {key: currentKey}));
		}

		if (found.value) {
			return resolveByToken(found.value, record);
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
		// A rule on which the change depends is written back unchanged: the condition fails if it is revoked concurrently.
		...approvals.map(({before, after}): TableWrite => ({
			kind: 'put', item: encodeApproval(after), condition: before ? {kind: 'equals', attribute: 'token', value: before.token} : {kind: 'absent'},
		})),
	];
}

function resolveByToken(found: RevisionRecord, own: RevisionRecord): Result<RevisionRecord, Failure> {
	return found.token === own.token ? ok(found) : err(createConflict(found, own));
}

function createConflict(other: RevisionRecord | undefined, own: RevisionRecord): Failure {
	return createFailure('revision-conflict', {revision: other?.revision ?? own.revision, by: other?.by ?? 'nobody', at: other?.at ?? 'unknown'});
}
