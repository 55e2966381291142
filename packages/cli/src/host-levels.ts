import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Configuration} from '@tanagerrail/configuration';
import {
	encodeSnapshot, LevelRecorder, SnapshotStore, SnapshotWriter, type LevelRecord,
} from '@tanagerrail/measuring';
import {keyHeader, verifyKey} from '@tanagerrail/peers';
import type {ObjectStore} from '@tanagerrail/platform';
import {createFailure, problemMediaType, buildProblemDetails} from '@tanagerrail/results';

/** Path of a host's counts on its admin address. */
export const levelsPath = '/-/levels';

/** Options of {@link HostLevels}. */
export type HostLevelsOptions = {
	readonly hostId: string;
	readonly incarnation: string;
	readonly getConfiguration: () => Configuration | undefined;
	/** Object store for snapshots; without it the counts end with the process. */
	readonly objects: ObjectStore | undefined;
	/** Valid admin keys; two during a rotation. */
	readonly getAdminKeys: () => readonly string[];
};

/** Service-level counts of a host: recorded, served to operators and kept in the object store. */
export class HostLevels {
	readonly #options: HostLevelsOptions;
	readonly #recorder: LevelRecorder;
	readonly #writer: SnapshotWriter | undefined;

	constructor(options: HostLevelsOptions) {
		this.#options = options;
		this.#recorder = new LevelRecorder(options);
		this.#writer = options.objects && new SnapshotWriter({recorder: this.#recorder, store: new SnapshotStore(options.objects)});
	}

	get recorder(): LevelRecorder {
		return this.#recorder;
	}

	/**
	 * Records the end of a request.
	 *
	 * @param record - How it ended.
	 */
	record(record: LevelRecord): void {
		this.#recorder.record(record);
	}

	/** Begins to write snapshots. */
	start(): void {
		this.#writer?.start();
	}

	/** Writes the last snapshot. */
	async stop(): Promise<void> {
		await this.#writer?.stop();
	}

	/**
	 * Serves the counts to an operator with a valid key.
	 *
	 * @param req - Request on the admin address.
	 * @param res - Response: the snapshot as gzip-compressed JSON.
	 */
	async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (!verifyKey(req.headers[keyHeader], this.#options.getAdminKeys())) {
			res.writeHead(401, {'content-type': problemMediaType}).end(JSON.stringify(buildProblemDetails(createFailure('peer-unauthorized'))));
			return;
		}

		const body = await encodeSnapshot(this.#recorder.takeSnapshot());
		res.writeHead(200, {'content-type': 'application/gzip', 'content-length': body.length}).end(body);
	}
}
