import {
	errAsync, ok, err, ResultAsync, type Result,
} from 'neverthrow';
import type {
	ObjectStore, TableCondition, TableItem, TableService, TableWrite,
} from '@tanagerrail/platform';
import {createFailure, type Failure} from '@tanagerrail/results';

/** Possible behaviors of one call: a `lost` write takes effect without a response, a `late` one after its failure was reported. */
export const callBehaviors = ['normal', 'normal', 'lost', 'dropped', 'late', 'throttled', 'unavailable'] as const;

/** One of {@link callBehaviors}. */
export type CallBehavior = typeof callBehaviors[number];

/** Number of yields to other tasks before a late write takes effect; enough for another host to claim and finish. */
const lateWriteYields = 12;

/** Yields to other tasks; called before and after the effect of a call. */
export type Yield = () => Promise<void>;

/** An in-memory table whose calls fail as scripted. */
export class FakeTable implements TableService {
	readonly items = new Map<string, TableItem>();
	/** Behaviors of the next calls; `normal` when the list is empty. */
	readonly nextBehaviors: CallBehavior[] = [];
	readonly #yield: Yield;

	constructor(yieldTurn: Yield) {
		this.#yield = yieldTurn;
	}

	get(key: string): ResultAsync<TableItem | undefined, Failure> {
		return new ResultAsync(this.#get(key));
	}

	write(write: TableWrite): ResultAsync<void, Failure> {
		return new ResultAsync(this.#write(write));
	}

	transact(): ResultAsync<void, Failure> {
		return errAsync(createFailure('table-unavailable', {reason: 'not used by claims'}));
	}

	list(): ResultAsync<TableItem[], Failure> {
		return errAsync(createFailure('table-unavailable', {reason: 'not used by claims'}));
	}

	close(): void {
		this.items.clear();
	}

	async #get(key: string): Promise<Result<TableItem | undefined, Failure>> {
		const behavior = this.nextBehaviors.shift() ?? 'normal';
		await this.#yield();
		const item = this.items.get(key);
		await this.#yield();
		return behavior === 'normal' ? ok(item) : err(createFailure('table-unavailable', {reason: behavior}));
	}

	async #write(write: TableWrite): Promise<Result<void, Failure>> {
		const behavior = this.nextBehaviors.shift() ?? 'normal';
		await this.#yield();
		if (behavior === 'throttled' || behavior === 'unavailable') {
			return err(createFailure(`table-${behavior}`));
		}

		if (behavior === 'late') {
			void this.#applyLate(write);
		}

		const isApplied = behavior === 'normal' || behavior === 'lost' ? this.#apply(write) : false;
		await this.#yield();
		if (behavior !== 'normal') {
			return err(createFailure('table-ambiguous'));
		}

		return isApplied ? ok(undefined) : err(createFailure('table-condition-failed'));
	}

	async #applyLate(write: TableWrite): Promise<void> {
		for (let turn = 0; turn < lateWriteYields; turn += 1) {
			await this.#yield();
		}

		this.#apply(write);
	}

	#apply(write: TableWrite): boolean {
		const key = write.kind === 'put' ? write.item.key : write.key;
		if (!checkCondition(write.condition, this.items.get(key))) {
			return false;
		}

		if (write.kind === 'put') {
			this.items.set(key, write.item);
		} else {
			this.items.delete(key);
		}

		return true;
	}
}

const refuseCall = () => errAsync(createFailure('object-unavailable', {reason: 'not used by small outcomes'}));

/** An object store for tests whose outcomes are small enough for the table; all its calls fail. */
export const unusedObjects: ObjectStore = {
	put: refuseCall, get: refuseCall, list: refuseCall, delete: refuseCall, close: () => undefined,
};

function checkCondition(condition: TableCondition, item: TableItem | undefined): boolean {
	return condition.kind === 'none'
		|| (condition.kind === 'absent' ? item === undefined : item?.attributes[condition.attribute] === condition.value);
}
