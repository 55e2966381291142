import {waitUnlessAborted} from '@tanagerrail/membership';
import type {CrashRecord} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {PeerHost} from './peer-host.js';
import {AdoptionOutcome, type PlatformState} from './platform-state.js';
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
	/**
	 * Starts to read the store repeatedly.
	 *
	 * @param signal - Stops the reading when aborted.
	 * @param firstPauseMilliseconds - Time between the first two reads in milliseconds; undefined for the usual time.
	 */
	readonly readStore: (signal: AbortSignal, firstPauseMilliseconds?: number) => void;
	/** Whether the last call to the store failed. */
	readonly isStoreDown: () => boolean;
	/** Returns the revision of the configuration in force; undefined while none is known. */
	readonly getRevision: () => number | undefined;
	/** Age at which the state no longer counts as current, in milliseconds. */
	readonly staleMilliseconds: number;
	/** Whether the whole system starts for the first time, so that this host can wait until the others are discovered. */
	readonly isFirstStart: boolean;
	/** Whether the hosts that started together with this one have been discovered. */
	readonly isDiscoveryComplete: () => boolean;
	/**
	 * Longest time after a restart during which this host only reads the store while it discovers the others, in milliseconds. A
	 * starting host serves no requests until it has the state, so it must not wait for a peer.
	 */
	readonly restartDelayMilliseconds: number;
	/**
	 * Time between the first two reads of the store after a restart, as a fraction of {@link StateFollowerOptions.staleMilliseconds}.
	 * When all hosts restart together, each of them reads the store once, and most follow a peer before they would read it again.
	 */
	readonly restartPauseShare: number;
	/** Longest wait at the first start for the discovery of other hosts, and then for a response, in milliseconds. */
	readonly firstStartTimeoutMilliseconds: number;
	/** Interval between two checks for a peer to follow while this host reads the store, in milliseconds. */
	readonly sourceCheckMilliseconds: number;
	/** Minimum time allowed for a response, in milliseconds. */
	readonly responseTimeoutMilliseconds: number;
};

/** Defaults of {@link StateFollowerOptions}. */
export const defaultStateFollowerOptions = {
	restartDelayMilliseconds: 2000, restartPauseShare: 0.92, firstStartTimeoutMilliseconds: 2500, sourceCheckMilliseconds: 700, responseTimeoutMilliseconds: 300,
};

/**
 * Fraction of {@link StateFollowerOptions.staleMilliseconds} after which a request by the first host of a failure domain times out.
 * That host then switches its source before the requests of the hosts that copy from it time out.
 */
const firstHostTimeoutShare = 0.92;

/** Interval between two checks whether the other hosts have been discovered, in milliseconds. */
const discoveryCheckMilliseconds = 50;

/** Position before the first response of a peer. */
const unknownPosition = {
	peer: '', incarnation: '', cursor: 0, hostsVersion: 0, crashesVersion: 0,
};

/** Value of the log field `source` while this host reads the store. */
const storeSource = 'store';

/**
 * Keeps this host's copy of the platform's state current. The first host in the order of {@link RelaySources} reads the store, and
 * the others copy the state from a preceding host. A host that receives no current response reads the store itself, and
 * one that cannot reach the store requests the state from any other host.
 */
export class StateFollower {
	readonly #options: StateFollowerOptions;
	/** Peer that sent the last adopted response, and the versions of that response. */
	#position = unknownPosition;

	#source = '';

	constructor(options: Partial<StateFollowerOptions> & Omit<StateFollowerOptions, keyof typeof defaultStateFollowerOptions>) {
		this.#options = {...defaultStateFollowerOptions, ...options};
	}

	/** Whether this host reads the store itself. */
	get isStoreReader(): boolean {
		return this.#source === storeSource;
	}

	/** Whether this host copies the state from a peer or can reach the store. */
	get hasSource(): boolean {
		return !this.isStoreReader || !this.#options.isStoreDown();
	}

	/** Whether another host precedes this one in the order of {@link RelaySources}. */
	get hasPredecessor(): boolean {
		return this.#options.sources.hasPredecessor;
	}

	/**
	 * Keeps the state current until the signal is aborted.
	 *
	 * @param signal - Stops the updates.
	 * @param isFirstRun - Whether there is no state yet that other hosts could have replaced; otherwise the store is read first.
	 */
	async run(signal: AbortSignal, isFirstRun = this.#options.isFirstStart): Promise<void> {
		const {state, sources, restartDelayMilliseconds, firstStartTimeoutMilliseconds, restartPauseShare, staleMilliseconds, sourceCheckMilliseconds} = this.#options;
		await (isFirstRun
			? this.#waitForDiscovery(signal, firstStartTimeoutMilliseconds)
			: this.#readStore(signal, this.#waitForDiscovery(signal, restartDelayMilliseconds), restartPauseShare * staleMilliseconds));
		while (!signal.aborted) {
			// A stale state is read from the store: waiting for a peer that does not respond could exceed the time limit for detecting
			// a leaving endpoint.
			const peer = state.isCurrent || !state.isKnown ? sources.findPreferred() : undefined;
			await (peer ? this.#requestRepeatedly(peer, signal) : this.#readStore(signal, waitUnlessAborted(sourceCheckMilliseconds, signal)));
		}
	}

	/**
	 * Reports crashes to the host from which this one copies the state, which passes them on. A host that reads the store has
	 * nobody to report to; the others copy its records.
	 *
	 * @param records - The crashes by fingerprint.
	 */
	reportCrashes(records: readonly CrashRecord[]): void {
		const {sources, client} = this.#options;
		const source = sources.findHost(this.#source);
		if (!source) {
			return;
		}

		void client.reportCrashes(source.peerAddress, records).mapErr(({parameters}) => {
			logger.log(LogLevel.info, 'crashes-not-reported', {peer: source.id, records: records.length, reason: parameters.reason});
		});
	}

	async #waitForDiscovery(signal: AbortSignal, timeoutMilliseconds: number): Promise<void> {
		const {isDiscoveryComplete} = this.#options;
		for (let waitedMilliseconds = 0; waitedMilliseconds < timeoutMilliseconds && !isDiscoveryComplete() && !signal.aborted; waitedMilliseconds += discoveryCheckMilliseconds) {
			await waitUnlessAborted(discoveryCheckMilliseconds, signal);
		}
	}

	/** Reads the store until a preceding host sends a current response; the first one is asked after the given wait. */
	async #readStore(signal: AbortSignal, firstCheck: Promise<void>, firstPauseMilliseconds?: number): Promise<void> {
		const {sources, readStore, isStoreDown, sourceCheckMilliseconds} = this.#options;
		this.#setSource(storeSource);
		const controller = new AbortController();
		readStore(AbortSignal.any([signal, controller.signal]), firstPauseMilliseconds);
		await firstCheck;
		while (!signal.aborted) {
			const isDown = isStoreDown();
			const peer = isDown ? sources.pickFallback() : sources.findPreferred();
			const outcome = peer && await this.#requestState(peer, RelayCall.read, signal);
			if (outcome !== undefined && outcome !== AdoptionOutcome.stale && !isDown) {
				break;
			}

			await waitUnlessAborted(sourceCheckMilliseconds, signal);
		}

		controller.abort();
	}

	/** Copies the state from a peer until a response is not adopted. */
	async #requestRepeatedly(peer: PeerHost, signal: AbortSignal): Promise<void> {
		this.#setSource(peer.id);
		while (!signal.aborted) {
			if (await this.#requestState(peer, RelayCall.wait, signal) !== AdoptionOutcome.adopted) {
				return;
			}
		}
	}

	/** Requests the state from a peer and adopts the response if it is current and the signal was not aborted in the meantime. */
	async #requestState(peer: PeerHost, call: RelayCall, signal: AbortSignal): Promise<AdoptionOutcome> {
		const {self, state, sources, client, getRevision} = this.#options;
		const {incarnation, cursor, hostsVersion, crashesVersion} = this.#position.peer === peer.id ? this.#position : unknownPosition;
		const response = await client.requestState(peer.peerAddress, call, {
			hostId: self.id, incarnation, cursor, registryVersion: state.registryVersion, revision: getRevision() ?? -1, hostsVersion, crashesVersion,
		}, this.#computeTimeout(call));
		if (signal.aborted) {
			return AdoptionOutcome.stale;
		}

		const outcome = response.isOk() ? state.adopt(response.value) : AdoptionOutcome.stale;
		if (response.isOk() && outcome === AdoptionOutcome.adopted) {
			const {incarnation: responderIncarnation, directory, hostsVersion: version, crashes} = response.value;
			this.#position = {
				peer: peer.id, incarnation: responderIncarnation, cursor: directory.cursor, hostsVersion: version, crashesVersion: crashes?.version ?? 0,
			};
		}

		if (outcome !== AdoptionOutcome.stale) {
			sources.recordSuccess(peer.id);
			return outcome;
		}

		sources.recordFailure(peer.id);
		logger.log(LogLevel.info, 'peer-not-current', {
			peer: peer.id, call, age: Math.round(state.age), ...(response.isErr() ? {reason: response.error.parameters.reason} : {peerAge: Math.round(response.value.age)}),
		});
		return outcome;
	}

	/** Computes the timeout of a request. A request that waits for a change times out when the state becomes stale. */
	#computeTimeout(call: RelayCall): number {
		const {state, sources, staleMilliseconds, responseTimeoutMilliseconds, firstStartTimeoutMilliseconds} = this.#options;
		if (call === RelayCall.read) {
			return responseTimeoutMilliseconds;
		}

		const remainingMilliseconds = (staleMilliseconds * (sources.isFirstOfDomain ? firstHostTimeoutShare : 1)) - state.age;
		return state.isKnown ? Math.ceil(Math.max(responseTimeoutMilliseconds, remainingMilliseconds)) : firstStartTimeoutMilliseconds;
	}

	#setSource(source: string): void {
		if (this.#source !== source) {
			logger.log(LogLevel.info, 'state-source-changed', {source, former: this.#source, age: Math.round(this.#options.state.age)});
			this.#source = source;
		}
	}
}
