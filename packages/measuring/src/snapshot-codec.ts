import {promisify} from 'node:util';
import {gunzip, gzip} from 'node:zlib';
import {
	err, ok, type Result,
} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {levelSnapshotSchema, type LevelSnapshot} from './level-snapshot.js';

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Largest decoded snapshot in bytes; a month of counts of nine classes takes 1.1 MB. */
const maximumSnapshotBytes = 64 * 1024 * 1024;

/**
 * Encodes a snapshot.
 *
 * @param snapshot - The counts.
 * @returns Gzip-compressed JSON.
 */
export async function encodeSnapshot(snapshot: LevelSnapshot): Promise<Uint8Array> {
	return compress(JSON.stringify(snapshot));
}

/**
 * Decodes a snapshot.
 *
 * @param body - Gzip-compressed JSON.
 * @param source - Key or host that it was read from, for the failure.
 * @returns The snapshot, or `snapshot-malformed`.
 */
export async function decodeSnapshot(body: Uint8Array, source: string): Promise<Result<LevelSnapshot, Failure>> {
	try {
		return ok(levelSnapshotSchema.parse(JSON.parse(String(await decompress(body, {maxOutputLength: maximumSnapshotBytes})))));
	} catch (error) {
		return err(createFailure('snapshot-malformed', {key: source, reason: (error as Error).name}));
	}
}
