import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {WebSocket} from 'ws';
import {createFailure, type Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {CrashRecord, SlotRelease, SlotRequest} from '@tanagerrail/routing';
import {FrameChannel} from './frame-channel.js';
import type {
	AllocatorMessage, HelloMessage, HeldSlot, HostMessage,
} from './slot-messages.js';
import {slotPath} from './slot-server.js';
import {keyHeader} from './verify-key.js';

const logger = createLogger('peers');

/** Time without slot requests after which a link is idle, in milliseconds. */
const idleThresholdMilliseconds = 1000;

/** State of a link; a `closed` link connects again after a delay unless {@link SlotLink.close} was called. */
export const LinkState = {connecting: 'connecting', open: 'open', closed: 'closed'} as const;

/** `connecting`, `open` or `closed`. */
export type LinkState = typeof LinkState[keyof typeof LinkState];

/** Options of {@link SlotLink}. */
export type SlotLinkOptions = {
	/** Id and peer address (`ip:port`) of the allocator's host. */
	readonly peerId: string;
	readonly peerAddress: string;
	readonly key: string;
	/** Returns the certificate authorities of peers as PEM; links use TLS when it is given. */
	readonly getAuthority?: () => string | undefined;
	readonly clock: Clock;
	readonly getRevision: () => number;
	/** Builds the hello message, the first one on each connection. */
	readonly buildHello: () => HelloMessage;
	readonly onRevision: (revision: number, hostId: string) => void;
	readonly onGoodbye: (hostId: string) => void;
	/** Called for each message of the allocator that is not a response. */
	readonly onNotice: (message: AllocatorNotice, link: SlotLink) => void;
	/** Called when the connection has closed; leases of the allocator are then invalid, slots in use stay valid. */
	readonly onClosed: (link: SlotLink) => void;
	/** Interval after which a heartbeat is sent on an active link without other messages, in milliseconds. */
	readonly heartbeatMilliseconds: number;
	/** The same interval for an idle link, in milliseconds. */
	readonly idleHeartbeatMilliseconds: number;
	/** Time without any received message after which the connection is closed, in milliseconds. */
	readonly silenceTimeoutMilliseconds: number;
	/** Time since the last received message within which a leased slot may be used, in milliseconds. */
	readonly leaseValidityMilliseconds: number;
	/** Delay between two connection attempts, in milliseconds. */
	readonly reconnectMilliseconds: number;
};

/** Defaults of {@link SlotLinkOptions}. */
export const defaultSlotLinkOptions = {
	heartbeatMilliseconds: 100, idleHeartbeatMilliseconds: 250, silenceTimeoutMilliseconds: 500, leaseValidityMilliseconds: 300, reconnectMilliseconds: 250,
};

/** Messages of an allocator that do not respond to a request. */
export type AllocatorNotice = Extract<AllocatorMessage, {type: 'lease' | 'recall' | 'crashes' | 'drain'}>;

/** A slot granted by an allocator on another host. */
export type LinkGrant = {readonly grantId: string; readonly endpointId: string; readonly address: string};

type ResultCallback = (result: Result<LinkGrant, Failure>) => void;
type MessageHandlers = {readonly [T in AllocatorMessage['type']]: (message: Extract<AllocatorMessage, {type: T}>) => void};

/** A link to the allocators of one peer, which reconnects when its connection closes. */
export class SlotLink {
	readonly #options: SlotLinkOptions;
	readonly #pending = new Map<number, ResultCallback>();
	readonly #stopController = new AbortController();
	readonly #services = new Set<string>();
	#channel: FrameChannel<HostMessage, AllocatorMessage> | undefined;
	#socket: WebSocket | undefined;
	#state: LinkState = LinkState.connecting;
	#openWaiters: Array<() => void> = [];
	/** Whether the last connection attempt failed or the connection closed. */
	#hasFailed = false;
	#lastMessageAt = 0;
	#lastHeartbeatAt = 0;
	#lastAcquireAt = -Infinity;
	#nextId = 1;
	/** Bytes sent and received on earlier connections. */
	#closedBytes = {sent: 0, received: 0};

	readonly #handlers: MessageHandlers = {
		grant: ({id, grantId, endpointId, address}) => {
			const settle = this.#takePending(id);
			if (settle) {
				settle(ok({grantId, endpointId, address}));
			}
		},
		refuse: ({id, code, parameters}) => {
			this.#takePending(id)?.(err(createFailure(code, parameters)));
		},
		lease: message => {
			this.#options.onNotice(message, this);
		},
		recall: message => {
			this.#options.onNotice(message, this);
		},
		crashes: message => {
			this.#options.onNotice(message, this);
		},
		drain: message => {
			this.#options.onNotice(message, this);
		},
		goodbye: () => {
			this.#options.onGoodbye(this.peerId);
		},
		beat() {/* Nothing to do: each received frame already updates the time of the last message. */},
	};

	constructor(options: Partial<SlotLinkOptions> & Omit<SlotLinkOptions, keyof typeof defaultSlotLinkOptions>) {
		this.#options = {...defaultSlotLinkOptions, ...options};
	}

	get peerId(): string {
		return this.#options.peerId;
	}

	get peerAddress(): string {
		return this.#options.peerAddress;
	}

	get state(): LinkState {
		return this.#state;
	}

	/** Services for which slots were requested on this link. */
	get services(): ReadonlySet<string> {
		return this.#services;
	}

	/** Bytes of control messages sent and received on this link. */
	get bytes(): {readonly sent: number; readonly received: number} {
		const current = this.#channel?.bytes ?? {sent: 0, received: 0};
		return {sent: this.#closedBytes.sent + current.sent, received: this.#closedBytes.received + current.received};
	}

	/** Whether a message was received recently enough that grants of the allocator are still valid. */
	get isFresh(): boolean {
		return this.#state === LinkState.open && this.#options.clock() - this.#lastMessageAt < this.#options.silenceTimeoutMilliseconds;
	}

	/** Whether a message was received so recently that the allocator cannot have reclaimed its leased slots. */
	get isLeaseFresh(): boolean {
		return this.#state === LinkState.open && this.#options.clock() - this.#lastMessageAt < this.#options.leaseValidityMilliseconds;
	}

	/** Connects and reconnects until the link is closed. */
	async run(): Promise<void> {
		while (!this.#stopController.signal.aborted) {
			this.#state = LinkState.connecting;
			await this.#runConnection();
			this.#state = LinkState.closed;
			this.#notifyWaiters();
			await this.#waitForReconnect();
		}
	}

	/** Closes the link permanently. */
	close(): void {
		this.#stopController.abort();
		this.#socket?.terminate();
	}

	/** Terminates the connection; the link then reconnects. */
	reset(): void {
		this.#socket?.terminate();
	}

	/**
	 * Waits while the link is connecting.
	 *
	 * @param milliseconds - Longest wait.
	 * @returns Whether the link is open.
	 */
	async waitOpen(milliseconds: number): Promise<boolean> {
		// After a failure the next host in rank order is used; a request must not wait for each further connection attempt.
		if (this.#state !== LinkState.connecting || this.#hasFailed) {
			return this.#state === LinkState.open;
		}

		await new Promise<void>(resolve => {
			this.#openWaiters.push(resolve);
			setTimeout(resolve, milliseconds);
		});
		return (this.#state as LinkState) === LinkState.open;
	}

	/**
	 * Requests a slot from the allocator.
	 *
	 * @param request - What the slot is for.
	 * @param signal - Cancels the request.
	 * @returns The grant, the allocator's refusal, or `allocator-lost`.
	 */
	acquire(request: SlotRequest, signal?: AbortSignal): ResultAsync<LinkGrant, Failure> {
		return new ResultAsync(new Promise(resolve => {
			const id = this.#nextId++;
			const cancel = () => {
				this.#channel?.send({type: 'cancel', id});
			};

			this.#services.add(request.service);
			this.#lastAcquireAt = this.#options.clock();
			this.#pending.set(id, result => {
				signal?.removeEventListener('abort', cancel);
				resolve(result);
			});
			signal?.addEventListener('abort', cancel, {once: true});
			this.#channel?.send({type: 'acquire', id, request});
		}));
	}

	/**
	 * Releases a slot.
	 *
	 * @param grantId - Id of the grant.
	 * @param service - Service of the slot.
	 * @param release - How the attempt ended.
	 */
	release(grantId: string, service: string, release: SlotRelease): void {
		this.#channel?.send({
			type: 'release', grantId, service, release,
		});
	}

	/**
	 * Reports a slot in use that was leased, or granted by the previous allocator, to the allocator.
	 *
	 * @param held - The slot.
	 */
	adopt(held: HeldSlot): void {
		this.#lastAcquireAt = this.#options.clock();
		this.#channel?.send({type: 'adopt', held});
	}

	/**
	 * Returns a leased slot to the allocator.
	 *
	 * @param grantId - Id of the lease.
	 * @param service - Service of the slot.
	 */
	releaseLease(grantId: string, service: string): void {
		this.#channel?.send({type: 'return', grantId, service});
	}

	/**
	 * Passes on crashes that another allocator counted.
	 *
	 * @param service - Service of the endpoints.
	 * @param records - Crashes by fingerprint.
	 */
	reportCrashes(service: string, records: readonly CrashRecord[]): void {
		this.#channel?.send({type: 'crashes', service, records});
	}

	/**
	 * Notifies the allocator that this host now uses another one for a service.
	 *
	 * @param service - Name of the service.
	 */
	announceMoved(service: string): void {
		if (this.#services.delete(service)) {
			this.#channel?.send({type: 'moved', service});
		}
	}

	async #waitForReconnect(): Promise<void> {
		const {signal} = this.#stopController;
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, this.#options.reconnectMilliseconds);
			signal.addEventListener('abort', finish, {once: true});
		});
	}

	async #runConnection(): Promise<void> {
		const {peerAddress, key, silenceTimeoutMilliseconds, getAuthority} = this.#options;
		const socket = new WebSocket(`${getAuthority ? 'wss' : 'ws'}://${peerAddress}${slotPath}`, {
			headers: {[keyHeader]: key}, perMessageDeflate: false, handshakeTimeout: silenceTimeoutMilliseconds, ca: getAuthority?.(),
		});
		this.#socket = socket;
		const closed = new Promise<void>(resolve => {
			socket.once('close', resolve);
		});
		socket.on('error', () => {
			socket.terminate();
		});
		socket.once('open', () => {
			this.#open(socket);
		});
		const timer = setInterval(() => {
			this.#checkHeartbeat(socket);
		}, this.#options.heartbeatMilliseconds / 2);
		await closed;
		clearInterval(timer);
		this.#finishConnection();
	}

	#open(socket: WebSocket): void {
		const {getRevision, onRevision, buildHello, clock} = this.#options;
		this.#lastMessageAt = clock();
		this.#channel = new FrameChannel({
			socket,
			getRevision,
			onFrame: ({revision, messages}) => {
				this.#lastMessageAt = clock();
				for (const message of messages) {
					this.#handle(message);
				}

				onRevision(revision, this.peerId);
			},
			onInvalid: () => {
				logger.logFailure(LogLevel.warn, 'internal-error', createFailure('peer-message-invalid', {host: this.peerId}));
			},
		});
		this.#channel.send(buildHello());
		this.#state = LinkState.open;
		this.#hasFailed = false;
		logger.log(LogLevel.info, 'link-opened', {peer: this.peerId});
		this.#notifyWaiters();
	}

	#checkHeartbeat(socket: WebSocket): void {
		if (this.#state !== LinkState.open) {
			return;
		}

		if (this.#options.clock() - this.#lastMessageAt > this.#options.silenceTimeoutMilliseconds) {
			socket.terminate();
			return;
		}

		// Any message proves that the connection works, so heartbeats are only sent when there are no others, and less often on idle links.
		const now = this.#options.clock();
		const {heartbeatMilliseconds, idleHeartbeatMilliseconds} = this.#options;
		const gap = now - this.#lastAcquireAt < idleThresholdMilliseconds ? heartbeatMilliseconds : idleHeartbeatMilliseconds;
		if (now - Math.max(this.#lastMessageAt, this.#lastHeartbeatAt) >= gap) {
			this.#lastHeartbeatAt = now;
			this.#channel?.send({type: 'beat', sequence: this.#nextId});
		}
	}

	#finishConnection(): void {
		if (this.#state === LinkState.open) {
			logger.log(LogLevel.info, 'link-closed', {peer: this.peerId});
		}

		this.#state = LinkState.closed;
		this.#hasFailed = true;
		this.#closedBytes = this.bytes;
		this.#channel = undefined;
		this.#services.clear();
		this.#options.onClosed(this);
		for (const [id, settle] of this.#pending) {
			this.#pending.delete(id);
			settle(err(createFailure('allocator-lost', {service: ''})));
		}
	}

	#handle<T extends AllocatorMessage['type']>(message: Extract<AllocatorMessage, {type: T}>): void {
		const handler = this.#handlers[message.type] as ((message: AllocatorMessage) => void) | undefined;
		handler?.(message);
	}

	#takePending(id: number): ResultCallback | undefined {
		const settle = this.#pending.get(id);
		this.#pending.delete(id);
		return settle;
	}

	#notifyWaiters(): void {
		for (const notify of this.#openWaiters) {
			notify();
		}

		this.#openWaiters = [];
	}
}
