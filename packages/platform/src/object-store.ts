import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';

/** The platform's object store. Failures: `object-unavailable`, `object-missing`. */
export type ObjectStore = {
	put(key: string, body: Uint8Array): ResultAsync<void, Failure>;
	get(key: string): ResultAsync<Uint8Array, Failure>;
	/** Lists the keys that begin with a prefix. */
	list(prefix: string): ResultAsync<string[], Failure>;
	delete(key: string): ResultAsync<void, Failure>;
	close(): void;
};
