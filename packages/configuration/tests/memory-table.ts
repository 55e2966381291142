import {err, ok, ResultAsync} from 'neverthrow';
import type {
	TableCondition, TableItem, TableService, TableWrite,
} from '@tanagerrail/platform';
import {createFailure, type Failure} from '@tanagerrail/results';

/** Injected fault of a call: it is refused, lost before it takes effect, or its response is lost after it took effect. */
export type Fault = 'down' | 'lost-before' | 'lost-after' | undefined;

/** An in-memory table service with fault injection. */
export class MemoryTable implements TableService {
	readonly items = new Map<string, TableItem>();
	/** Returns the fault to inject into a read or write. */
	chooseFault: (kind: 'read' | 'write') => Fault = () => undefined;

	get(key: string): ResultAsync<TableItem | undefined, Failure> {
		return this.#read(() => this.items.get(key));
	}

	list(prefix: string): ResultAsync<TableItem[], Failure> {
		return this.#read(() => [...this.items.values()].filter(({key}) => key.startsWith(prefix)).sort((left, right) => left.key < right.key ? -1 : 1));
	}

	write(write: TableWrite): ResultAsync<void, Failure> {
		return this.transact([write]);
	}

	transact(writes: readonly TableWrite[]): ResultAsync<void, Failure> {
		return new ResultAsync((async () => {
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
			const fault = this.chooseFault('write');
			if (fault === 'down' || fault === 'lost-before') {
				return err(createFailure(fault === 'down' ? 'table-unavailable' : 'table-ambiguous'));
			}

			const rejectedWrite = writes.find(write => !this.#isConditionMet(write));
			if (rejectedWrite) {
				return err(createFailure('table-condition-failed'));
			}

			for (const write of writes) {
				if (write.kind === 'put') {
					this.items.set(write.item.key, write.item);
				} else {
					this.items.delete(write.key);
				}
			}

			return fault === 'lost-after' ? err(createFailure('table-ambiguous')) : ok();
		})());
	}

	close(): void {
		this.items.clear();
	}

	#read<T>(read: () => T): ResultAsync<T, Failure> {
		return new ResultAsync((async () => {
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
			return this.chooseFault('read') ? err(createFailure('table-unavailable')) : ok(read());
		})());
	}

	#isConditionMet(write: TableWrite): boolean {
		const item = this.items.get(write.kind === 'put' ? write.item.key : write.key);
		const {condition}: {condition: TableCondition} = write;
		return condition.kind === 'none' || (condition.kind === 'absent' ? !item : item?.attributes[condition.attribute] === condition.value);
	}
}
