import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {
	buildLevelReport, decodeSnapshot, SnapshotStore, type LevelReport, type LevelSnapshot,
} from '@tanagerrail/measuring';
import {keyHeader} from '@tanagerrail/peers';
import {
	createHttpHostList, createS3Objects, HostRole, type ListedHost,
} from '@tanagerrail/platform';
import {createFailure, formatFailure, type Failure} from '@tanagerrail/results';
import {levelsPath} from '../host-levels.js';
import type {Settings} from '../settings.js';

/** Time allowed for one host's answer, in milliseconds. */
const hostMilliseconds = 3000;

/** A report and what stood in the way of a whole one. */
export type CollectedLevels = {readonly report: LevelReport; readonly warnings: readonly string[]};

/**
 * Collects the counts of all listed hosts and of the snapshots in the object store.
 *
 * @param settings - Addresses and keys.
 * @returns The report, or `host-list-unavailable`; an object store that is down is a warning.
 */
export async function collectLevels({platform, keys}: Pick<Settings, 'platform' | 'keys'>): Promise<Result<CollectedLevels, Failure>> {
	const listed = await createHttpHostList({url: platform.hostList.url}).list();
	if (listed.isErr()) {
		return err(listed.error);
	}

	const warnings: string[] = [];
	const entries = listed.value.filter(({role}) => role === HostRole.entry);
	const answers = await Promise.all(entries.map(async host => fetchSnapshot(host, keys.admin[0]!)));
	const live: LevelSnapshot[] = [];
	for (const answer of answers) {
		if (answer.isOk()) {
			live.push(answer.value);
		} else {
			warnings.push(formatFailure(answer.error));
		}
	}

	const {snapshots, unreadable, warning} = await readStored(platform);
	if (warning) {
		warnings.push(warning);
	}

	return ok({
		report: buildLevelReport({
			now: Date.now(), live, stored: snapshots, unreadable, listedHostIds: entries.map(({id}) => id),
		}),
		warnings,
	});
}

async function fetchSnapshot({id, adminAddress}: ListedHost, key: string): Promise<Result<LevelSnapshot, Failure>> {
	if (adminAddress === undefined) {
		return err(createFailure('peer-unreachable', {host: id, reason: 'it is listed without an admin address'}));
	}

	try {
		const {statusCode, body} = await request(`http://${adminAddress}${levelsPath}`, {headers: {[keyHeader]: key}, signal: AbortSignal.timeout(hostMilliseconds)});
		const content = await body.bytes();
		return statusCode === 200
			? await decodeSnapshot(content, id)
			: err(createFailure('peer-unreachable', {host: id, reason: `status ${statusCode}`}));
	} catch (error) {
		const {code, name} = error as NodeJS.ErrnoException;
		return err(createFailure('peer-unreachable', {host: id, reason: code ?? name}));
	}
}

type StoredSnapshots = {readonly snapshots: LevelSnapshot[]; readonly unreadable: string[]; readonly warning?: string};

async function readStored({objects, credentials}: Settings['platform']): Promise<StoredSnapshots> {
	if (!objects) {
		return {snapshots: [], unreadable: []};
	}

	const store = createS3Objects({...objects, ...(credentials && {credentials})});
	const stored = await new SnapshotStore(store).readAll();
	store.close();
	return stored.match<StoredSnapshots>(value => value, failure => ({
		snapshots: [], unreadable: ['reports/'], warning: formatFailure(failure),
	}));
}
