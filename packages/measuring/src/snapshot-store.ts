import {err, ResultAsync, type Result} from 'neverthrow';
import type {ObjectStore} from '@tanagerrail/platform';
import type {Failure} from '@tanagerrail/results';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {LevelSnapshot} from './level-snapshot.js';
import {decodeSnapshot, encodeSnapshot} from './snapshot-codec.js';

const logger = createLogger('measuring');

/** Prefix of the keys of snapshots in the object store. */
export const snapshotPrefix = 'reports/';

/** Snapshots of service-level counts in the object store, one object for each incarnation. */
export class SnapshotStore {
	readonly #objects: ObjectStore;

	constructor(objects: ObjectStore) {
		this.#objects = objects;
	}

	/**
	 * Writes a snapshot, replacing the previous one of the same incarnation.
	 *
	 * @param snapshot - The counts; stored as gzip-compressed JSON.
	 * @returns Nothing, or `object-unavailable`.
	 */
	write(snapshot: LevelSnapshot): ResultAsync<void, Failure> {
		return ResultAsync.fromSafePromise(encodeSnapshot(snapshot))
			.andThen(body => this.#objects.put(`${snapshotPrefix}${snapshot.incarnation}`, body));
	}

	/**
	 * Reads all snapshots. Unreadable ones are logged and skipped.
	 *
	 * @returns The snapshots and the keys of the unreadable ones, or `object-unavailable`.
	 */
	readAll(): ResultAsync<{readonly snapshots: LevelSnapshot[]; readonly unreadable: string[]}, Failure> {
		return this.#objects.list(snapshotPrefix).andThen(keys => ResultAsync.fromSafePromise(this.#readKeys(keys)));
	}

	async #readKeys(keys: readonly string[]): Promise<{snapshots: LevelSnapshot[]; unreadable: string[]}> {
		const snapshots: LevelSnapshot[] = [];
		const unreadable: string[] = [];
		for (const key of keys) {
			const snapshot = await this.#read(key);
			if (snapshot.isErr()) {
				logger.logFailure(LogLevel.warn, 'snapshot-unreadable', snapshot.error, {key});
				unreadable.push(key);
				continue;
			}

			snapshots.push(snapshot.value);
		}

		return {snapshots, unreadable};
	}

	async #read(key: string): Promise<Result<LevelSnapshot, Failure>> {
		const body = await this.#objects.get(key);
		return body.isErr() ? err(body.error) : decodeSnapshot(body.value, key);
	}
}
