import {waitUntil, type RegisteredHost} from '@tanagerrail/membership';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {Adoption, type PlatformState} from './platform-state.js';
import {RelayCall, type RelayClient} from './relay-client.js';
import type {RelaySources} from './relay-sources.js';

const logger = createLogger('peers');

/** Options of {@link StateFollower}. */
export type StateFollowerOptions = {
	readonly hostId: string;
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
	/** Time after the start before another host is asked, in milliseconds; a host that starts has other work. */
	readonly startMilliseconds: number;
	/** Time between two looks for a host to ask while this one reads the store, in milliseconds. */
	readonly checkMilliseconds: number;
	/** Time allowed at least for an answer, in milliseconds. */
	readonly answerMilliseconds: number;
};

/** Defaults of {@link StateFollowerOptions}. */
export const defaultStateFollowerOptions = {startMilliseconds: 2000, checkMilliseconds: 700, answerMilliseconds: 300};

/** Name of the store where the logs tell the source of the state. */
const storeName = 'store';

/**
 * Keeps this host's state of the platform current. One host of each failure domain reads the store, and the others ask it.
 * A host that gets no current answer reads the store itself, and one that cannot reach the store asks any other host.
 */
export class StateFollower {
	readonly #options: StateFollowerOptions;
	/** Where the last answer came from and up to where it told the changes. */
	#position = {peer: '', incarnation: '', cursor: 0};
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

	/** Whether another host of this failure domain would read the store before this one. */
	get hasPredecessor(): boolean {
		return this.#options.sources.hasPredecessor;
	}

	/**
	 * Follows the platform's state.
	 *
	 * @param signal - Ends the following.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const {state, sources, startMilliseconds, checkMilliseconds} = this.#options;
		await this.#readStore(signal, startMilliseconds);
		while (!signal.aborted) {
			// Another host that does not answer would cost the time in which a leaving endpoint must be noticed.
			const peer = state.isCurrent ? sources.findPreferred() : undefined;
			await (peer ? this.#askAgain(peer, signal) : this.#readStore(signal, checkMilliseconds));
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

	async #askAgain(peer: RegisteredHost, signal: AbortSignal): Promise<void> {
		this.#noteSource(peer.id);
		while (!signal.aborted) {
			if (await this.#ask(peer, RelayCall.wait) !== Adoption.adopted) {
				return;
			}
		}
	}

	/** Asks a host and takes over its answer, if that is current. */
	async #ask(peer: RegisteredHost, call: RelayCall): Promise<Adoption> {
		const {hostId, state, sources, client, getRevision, staleMilliseconds, answerMilliseconds} = this.#options;
		const {incarnation, cursor} = this.#position.peer === peer.id ? this.#position : {incarnation: '', cursor: 0};
		const milliseconds = call === RelayCall.wait ? Math.max(answerMilliseconds, staleMilliseconds - state.age) : answerMilliseconds;
		const answer = await client.ask(peer.peerAddress, call, {
			hostId, incarnation, cursor, registryVersion: state.registryVersion, revision: getRevision() ?? -1, hostsVersion: state.hosts.version,
		}, Math.ceil(milliseconds));
		const adoption = answer.isOk() ? state.adopt(answer.value) : Adoption.stale;
		if (answer.isOk() && adoption === Adoption.adopted) {
			this.#position = {peer: peer.id, incarnation: answer.value.incarnation, cursor: answer.value.directory.cursor};
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

	#noteSource(source: string): void {
		if (this.#source !== source) {
			logger.log(LogLevel.info, 'state-source-changed', {source, former: this.#source, age: Math.round(this.#options.state.age)});
			this.#source = source;
		}
	}
}
