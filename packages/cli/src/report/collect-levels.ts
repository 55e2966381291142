import {err, ok, type Result} from 'neverthrow';
import {
	buildLevelReport, decodeSnapshot, SnapshotStore, type LevelReport, type LevelSnapshot,
} from '@tanagerrail/measuring';
import {
	createOperatorClient, decodeResult, describeControlError, type LevelHost,
} from '@tanagerrail/peers';
import {createHttpHostList, createS3Objects, HostRole} from '@tanagerrail/platform';
import {createFailure, formatFailure, type Failure} from '@tanagerrail/results';
import type {OperatorTarget} from '../commands/operator-options.js';
import {sendOperatorCall} from '../commands/send-operator-call.js';
import type {Settings} from '../settings.js';

/** Timeout of the call to one host, in milliseconds. */
const hostTimeoutMilliseconds = 3000;

/** A report, with warnings about counts that could not be collected. */
export type CollectedLevels = {readonly report: LevelReport; readonly warnings: readonly string[]};

/** Snapshots in the object store, and the keys of those that could not be read. */
type StoredSnapshots = {readonly snapshots: readonly LevelSnapshot[]; readonly unreadable: readonly string[]};

/** Sources of the service-level counts. */
export type LevelSources = {
	/** Lists the entry hosts from which counts are fetched. */
	readonly listHosts: () => Promise<Result<LevelHost[], Failure>>;
	readonly readStored: () => Promise<Result<StoredSnapshots, Failure>>;
	/** Admin key for the calls to hosts. */
	readonly key: string;
};

/**
 * Collects the counts of all listed hosts and the snapshots in the object store.
 *
 * @param sources - Sources of the counts.
 * @returns The report, or the failure to list the hosts. An unreachable host or object store only adds a warning.
 */
export async function collectLevels({listHosts, readStored, key}: LevelSources): Promise<Result<CollectedLevels, Failure>> {
	const listed = await listHosts();
	if (listed.isErr()) {
		return err(listed.error);
	}

	const [fetched, stored] = await Promise.all([
		Promise.all(listed.value.map(async host => fetchSnapshot(host, key))),
		readStored(),
	]);
	const live: LevelSnapshot[] = [];
	const warnings: string[] = [];
	for (const result of fetched) {
		if (result.isOk()) {
			live.push(result.value);
		} else {
			warnings.push(formatFailure(result.error));
		}
	}

	const {snapshots, unreadable} = stored.match(value => value, failure => {
		warnings.push(formatFailure(failure));
		return {snapshots: [], unreadable: ['reports/']};
	});
	return ok({
		report: buildLevelReport({
			now: Date.now(), live, stored: snapshots, unreadable, listedHostIds: listed.value.map(({id}) => id),
		}),
		warnings,
	});
}

/**
 * Creates sources that read the host list and the object store directly.
 *
 * @param settings - Addresses and keys of the platform, and the admin key.
 * @returns Sources; failures `host-list-unavailable` and `object-unavailable`.
 */
export function createPlatformSources({platform, keys}: Pick<Settings, 'platform' | 'keys'>): LevelSources {
	const {objects, credentials} = platform;
	return {
		key: keys.admin[0]!,
		async listHosts() {
			const listed = await createHttpHostList({url: platform.hostList.url}).list();
			return listed.map(hosts => hosts.filter(({role}) => role === HostRole.entry).map(({id, adminAddress}) => ({id, adminAddress})));
		},
		async readStored() {
			if (!objects) {
				return ok({snapshots: [], unreadable: []});
			}

			const store = createS3Objects({...objects, ...(credentials && {credentials})});
			const stored = await new SnapshotStore(store).readAll();
			store.close();
			return stored;
		},
	};
}

/**
 * Creates sources that fetch the host list and the stored snapshots from a host.
 *
 * @param target - Admin addresses and key.
 * @returns Sources; failures `peer-unreachable`, `peer-unauthorized` and `object-unavailable`.
 */
export function createOperatorSources(target: OperatorTarget): LevelSources {
	return {
		key: target.key,
		listHosts: async () => sendOperatorCall(target, async (client, signal) => client.levelHosts.query(undefined, {signal})),
		async readStored() {
			const called = await sendOperatorCall(target, async (client, signal) => client.storedLevels.query(undefined, {signal}));
			const stored = called.andThen(wire => decodeResult(wire));
			return stored.isErr() ? err(stored.error) : ok(await decodeStored(stored.value.snapshots, stored.value.unreadable));
		},
	};
}

async function decodeStored(encoded: readonly string[], unreadable: readonly string[]): Promise<StoredSnapshots> {
	const decoded = await Promise.all(encoded.map(async text => decodeSnapshot(Buffer.from(text, 'base64'), 'stored')));
	return {
		snapshots: decoded.flatMap(result => result.isOk() ? [result.value] : []),
		unreadable: [...unreadable, ...decoded.filter(result => result.isErr()).map(() => 'stored')],
	};
}

async function fetchSnapshot({id, adminAddress}: LevelHost, key: string): Promise<Result<LevelSnapshot, Failure>> {
	if (adminAddress === undefined) {
		return err(createFailure('peer-unreachable', {host: id, reason: 'the host list contains no admin address for it'}));
	}

	try {
		const encoded = await createOperatorClient({address: adminAddress, key}).levels.query(undefined, {signal: AbortSignal.timeout(hostTimeoutMilliseconds)});
		return await decodeSnapshot(Buffer.from(encoded, 'base64'), id);
	} catch (error) {
		return err(describeControlError(error, id));
	}
}
