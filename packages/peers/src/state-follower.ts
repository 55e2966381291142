import {waitUntil} from '@tanagerrail/membership';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {PeerHost} from './peer-host.js';
import {Adoption, type PlatformState} from './platform-state.js';
import {RelayCall, type RelayClient} from './relay-client.js';
import type {RelaySources} from './relay-sources.js';

const logger = createLogger('peers');

/** Options of {@link StateFollower}. */
export type StateFollowerOptions = {
	/** This host. */
	readonly self: PeerHost;
	readonly state: PlatformState;
	readonly sources: RelaySources;
	readonly client: RelayClient;
	/** Reads the store again and again until the signal. */
	readonly readStore: (signal: AbortSignal) => void;
	/** Whether the last call to the store has failed. */
	readonly isStoreDown: () => boolean;
	/** Revision of the configuration in force; nothing while none is known. */
	readonly getRevision: () => number | undefined;
	/** Age at which the state no longer counts as current, in milliseconds. */
	readonly staleMilliseconds: number;
	/** Whether the whole system starts for the first time, so that there is time to find the other hosts. */
	readonly isFirstStart: boolean;
	/** Tells when the hosts that started together with this one are known. */
	readonly isSettled: () => boolean;
	/** Time after a restart before another host is asked, in milliseconds; requests wait for a host that starts. */
	readonly startMilliseconds: number;
	/** Longest wait at the first start for the other hosts and for their answer, in milliseconds. */
	readonly firstStartMilliseconds: number;
	/** Time between two looks for a host to ask while this one reads the store, in milliseconds. */
	readonly checkMilliseconds: number;
	/** Time allowed at least for an answer, in milliseconds. */
	readonly answerMilliseconds: number;
};

/** Defaults of {@link StateFollowerOptions}. */
export const defaultStateFollowerOptions = {
	startMilliseconds: 2000, firstStartMilliseconds: 2500, checkMilliseconds: 700, answerMilliseconds: 300,
};

/** Part of the age after which the first host of a failure domain gives up an answer, so that it is ahead of those who ask it. */
const firstShare = 0.92;

/** Time between two looks whether the other hosts are known, in milliseconds. */
const settleCheckMilliseconds = 50;

/** Name of the store where the logs tell the source of the state. */
const storeName = 'store';

/**
 * Keeps this host's state of the platform current. One host of each failure domain reads the store, and the others ask it.
 * A host that gets no current answer reads the store itself, and one that cannot reach the store asks any other host.
 */
export class StateFollower {
	readonly #options: StateFollowerOptions;
	/** Where the last answer came from and up to where it told the changes. */
	#position = {
		peer: '', incarnation: '', cursor: 0, hostsVersion: 0,
	};

	#source = '';

	constructor(options: Partial<StateFollowerOptions> & Omit<StateFollowerOptions, keyof typeof defaultStateFollowerOptions>) {
		this.#options = {...defaultStateFollowerOptions, ...options};
	}

	/** Whether this host reads the store itself. */
	get isReader(): boolean {
		return this.#source === storeName;
	}

	/** Whether the store or the host that is asked answers. */
	get hasSource(): boolean {
		return !this.isReader || !this.#options.isStoreDown();
	}

	/** Whether another host would read the store before this one. */
	get hasPredecessor(): boolean {
		return this.#options.sources.hasPredecessor;
	}

	/**
	 * Follows the platform's state.
	 *
	 * @param signal - Ends the following.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const {state, sources, isFirstStart, startMilliseconds, checkMilliseconds} = this.#options;
		await (isFirstStart ? this.#waitHosts(signal) : this.#readStore(signal, startMilliseconds));
		while (!signal.aborted) {
			// Another host that does not answer would cost the time in which a leaving endpoint must be noticed.
			const peer = state.isCurrent || !state.isKnown ? sources.findPreferred() : undefined;
			await (peer ? this.#askAgain(peer, signal) : this.#readStore(signal, checkMilliseconds));
		}
	}

	async #waitHosts(signal: AbortSignal): Promise<void> {
		const {isSettled, firstStartMilliseconds} = this.#options;
		for (let waited = 0; waited < firstStartMilliseconds && !isSettled() && !signal.aborted; waited += settleCheckMilliseconds) {
			await waitUntil(settleCheckMilliseconds, signal);
		}
	}

	/** Reads the store until a host that comes before this one gives a current answer. */
	async #readStore(signal: AbortSignal, firstCheckMilliseconds: number): Promise<void> {
		const {sources, readStore, isStoreDown, checkMilliseconds} = this.#options;
		this.#noteSource(storeName);
		const controller = new AbortController();
		readStore(AbortSignal.any([signal, controller.signal]));
		await waitUntil(firstCheckMilliseconds, signal);
		while (!signal.aborted) {
			const isDown = isStoreDown();
			const peer = isDown ? sources.pickOther() : sources.findPreferred();
			const adoption = peer && await this.#ask(peer, RelayCall.read);
			if (adoption !== undefined && adoption !== Adoption.stale && !isDown) {
				break;
			}

			await waitUntil(checkMilliseconds, signal);
		}

		controller.abort();
	}

	async #askAgain(peer: PeerHost, signal: AbortSignal): Promise<void> {
		this.#noteSource(peer.id);
		while (!signal.aborted) {
			if (await this.#ask(peer, RelayCall.wait) !== Adoption.adopted) {
				return;
			}
		}
	}

	/** Asks a host and takes over its answer, if that is current. */
	async #ask(peer: PeerHost, call: RelayCall): Promise<Adoption> {
		const {self, state, sources, client, getRevision} = this.#options;
		const {incarnation, cursor, hostsVersion} = this.#position.peer === peer.id ? this.#position : {incarnation: '', cursor: 0, hostsVersion: 0};
		const answer = await client.ask(peer.peerAddress, call, {
			hostId: self.id, incarnation, cursor, registryVersion: state.registryVersion, revision: getRevision() ?? -1, hostsVersion,
		}, this.#computeAnswerTime(call));
		const adoption = answer.isOk() ? state.adopt(answer.value) : Adoption.stale;
		if (answer.isOk() && adoption === Adoption.adopted) {
			const {incarnation: answering, directory, hostsVersion: version} = answer.value;
			this.#position = {
				peer: peer.id, incarnation: answering, cursor: directory.cursor, hostsVersion: version,
			};
		}

		if (adoption !== Adoption.stale) {
			sources.resume(peer.id);
			return adoption;
		}

		sources.skip(peer.id);
		logger.log(LogLevel.info, 'peer-not-current', {
			peer: peer.id, call, age: Math.round(state.age), ...(answer.isErr() ? {reason: answer.error.parameters.reason} : {peerAge: Math.round(answer.value.age)}),
		});
		return adoption;
	}

	/** Time until the state must have been confirmed. */
	#computeAnswerTime(call: RelayCall): number {
		const {state, sources, staleMilliseconds, answerMilliseconds, firstStartMilliseconds} = this.#options;
		if (call === RelayCall.read) {
			return answerMilliseconds;
		}

		const left = (staleMilliseconds * (sources.isFirstOfDomain ? firstShare : 1)) - state.age;
		return state.isKnown ? Math.ceil(Math.max(answerMilliseconds, left)) : firstStartMilliseconds;
	}

	#noteSource(source: string): void {
		if (this.#source !== source) {
			logger.log(LogLevel.info, 'state-source-changed', {source, former: this.#source, age: Math.round(this.#options.state.age)});
			this.#source = source;
		}
	}
}
