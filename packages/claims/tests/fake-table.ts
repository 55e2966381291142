import {
	errAsync, ok, err, ResultAsync, type Result,
} from 'neverthrow';
import type {
	ObjectStore, TableCondition, TableItem, TableService, TableWrite,
} from '@tanagerrail/platform';
import {createFailure, type Failure} from '@tanagerrail/results';

/** What happens to one call: `late` takes effect after its failure was reported. */
export const callFates = ['normal', 'normal', 'lost', 'dropped', 'late', 'throttled', 'unavailable'] as const;

/** One of {@link callFates}. */
export type CallFate = typeof callFates[number];

/** Turns of other tasks after which a late write takes effect: enough for another host to claim and answer. */
const lateTurns = 12;

/** Lets other tasks run before and after the effect of a call. */
export type Yield = () => Promise<void>;

/** A table in memory whose calls fail as they are told. */
export class FakeTable implements TableService {
	readonly items = new Map<string, TableItem>();
	/** Fates of the next calls; normal when the list is empty. */
	readonly fates: CallFate[] = [];
	readonly #yield: Yield;

	constructor(newYield: Yield) {
		this.#yield = newYield;
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
		const fate = this.fates.shift() ?? 'normal';
		await this.#yield();
		const item = this.items.get(key);
		await this.#yield();
		return fate === 'normal' ? ok(item) : err(createFailure('table-unavailable', {reason: fate}));
	}

	async #write(write: TableWrite): Promise<Result<void, Failure>> {
		const fate = this.fates.shift() ?? 'normal';
		await this.#yield();
		if (fate === 'throttled' || fate === 'unavailable') {
			return err(createFailure(`table-${fate}`));
		}

		if (fate === 'late') {
			void this.#applyLate(write);
		}

		const isApplied = fate === 'normal' || fate === 'lost' ? this.#apply(write) : false;
		await this.#yield();
		if (fate !== 'normal') {
			return err(createFailure('table-ambiguous'));
		}

		return isApplied ? ok(undefined) : err(createFailure('table-condition-failed'));
	}

	async #applyLate(write: TableWrite): Promise<void> {
		for (let turn = 0; turn < lateTurns; turn += 1) {
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

/** An object store for tests whose outcomes fit into the table. */
export const unusedObjects: ObjectStore = {
	put: refuseCall, get: refuseCall, list: refuseCall, delete: refuseCall, close: () => undefined,
};

function checkCondition(condition: TableCondition, item: TableItem | undefined): boolean {
	return condition.kind === 'none'
		|| (condition.kind === 'absent' ? item === undefined : item?.attributes[condition.attribute] === condition.value);
}
