import {setTimeout} from 'node:timers/promises';
import type {RevisionRecord} from '@tanagerrail/configuration';
import type {HostDirectory} from '@tanagerrail/membership';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {PeerControlClients} from './peer-control-clients.js';

const logger = createLogger('configuration');

/** The hosts on which a revision is in force. */
export type RevisionReach = {
	/** Ids of the hosts that have reported the revision. */
	readonly inForce: readonly string[];
	/** Ids of the live hosts that have not reported the revision. */
	readonly missing: readonly string[];
	/** Time until all hosts had reported or the timeout was reached, in milliseconds. */
	readonly milliseconds: number;
};

/** Options of {@link RevisionAnnouncer}. */
export type RevisionAnnouncerOptions = {
	readonly hostId: string;
	readonly directory: HostDirectory;
	readonly clients: PeerControlClients;
	readonly clock: Clock;
	/** Time after which the announcement ends with hosts missing, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Delay before the announcement to a host that did not report is repeated, in milliseconds. */
	readonly retryMilliseconds: number;
};

/** Defaults of {@link RevisionAnnouncerOptions}; the timeout is the time within which a change must be in force. */
export const defaultRevisionAnnouncerOptions = {timeoutMilliseconds: 3000, retryMilliseconds: 100};

/** Announces accepted changes to all live hosts. */
export class RevisionAnnouncer {
	readonly #options: RevisionAnnouncerOptions;

	constructor(options: Partial<RevisionAnnouncerOptions> & Omit<RevisionAnnouncerOptions, keyof typeof defaultRevisionAnnouncerOptions>) {
		this.#options = {...defaultRevisionAnnouncerOptions, ...options};
	}

	/**
	 * Announces a change that is in force on this host until every live host reports it or the timeout is reached.
	 *
	 * @param record - The change.
	 * @returns The hosts on which it is in force and those that have not reported.
	 */
	async announce(record: RevisionRecord): Promise<RevisionReach> {
		const {hostId, directory, clock, timeoutMilliseconds, retryMilliseconds} = this.#options;
		const startedAt = clock();
		const inForce = new Set([hostId]);
		const pending = new Set<string>();
		const listMissing = () => directory.listEntryHosts().map(({id}) => id).filter(id => !inForce.has(id));
		// Hosts are called independently, so that one that does not respond delays no other.
		const announceOnce = async (id: string) => {
			pending.add(id);
			if (await this.#announceTo(id, record)) {
				inForce.add(id);
			} else {
				await setTimeout(retryMilliseconds);
			}

			pending.delete(id);
		};

		while (listMissing().length > 0 && clock() - startedAt < timeoutMilliseconds) {
			for (const id of listMissing()) {
				if (!pending.has(id)) {
					void announceOnce(id);
				}
			}

			await setTimeout(pollMilliseconds);
		}

		return {inForce: [...inForce].sort(), missing: listMissing(), milliseconds: clock() - startedAt};
	}

	async #announceTo(id: string, record: RevisionRecord): Promise<boolean> {
		const announced = await this.#options.clients.announce(id, record);
		if (announced.isErr()) {
			logger.logFailure(LogLevel.warn, 'announcement-failed', announced.error, {peer: id, revision: record.revision});
			return false;
		}

		return announced.value >= record.revision;
	}
}

const pollMilliseconds = 5;
