import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {WebSocket} from 'ws';
import {createFailure, type Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {SlotRelease, SlotRequest} from '@tanagerrail/routing';
import {FrameChannel} from './frame-channel.js';
import type {
	AllocatorMessage, HelloMessage, HeldSlot, HostMessage,
} from './slot-messages.js';
import {slotPath} from './slot-server.js';
import {keyHeader} from './verify-key.js';

const logger = createLogger('peers');

/** A link on which no slot was asked for within this time is idle, in milliseconds. */
const idleAfterMilliseconds = 1000;

/** State of a link. */
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
	/** Builds the first message of a connection. */
	readonly buildHello: () => HelloMessage;
	readonly onRevision: (revision: number, hostId: string) => void;
	readonly onGoodbye: (hostId: string) => void;
	/** Called for each lease, recall, crash and draining notice. */
	readonly onNotice: (message: AllocatorNotice, link: SlotLink) => void;
	/** Called when the connection is gone; everything the allocator gave is void then, except slots in use. */
	readonly onClosed: (link: SlotLink) => void;
	/** Longest gap between messages while slots are asked for, in milliseconds. */
	readonly beatMilliseconds: number;
	/** Longest gap between messages otherwise, in milliseconds. */
	readonly idleBeatMilliseconds: number;
	/** A link without any message for this long is given up, in milliseconds. */
	readonly silenceMilliseconds: number;
	/** A leased slot is used only when the allocator was heard of within this time, in milliseconds. */
	readonly leaseMilliseconds: number;
	/** Time between two tries to connect, in milliseconds. */
	readonly retryMilliseconds: number;
};

/** Defaults of {@link SlotLinkOptions}. */
export const defaultSlotLinkOptions = {
	beatMilliseconds: 100, idleBeatMilliseconds: 250, silenceMilliseconds: 500, leaseMilliseconds: 300, retryMilliseconds: 250,
};

/** Messages of an allocator that answer no request. */
export type AllocatorNotice = Extract<AllocatorMessage, {type: 'lease' | 'recall' | 'crashes' | 'drain'}>;

/** A slot that an allocator on another host gave. */
export type LinkGrant = {readonly grantId: string; readonly endpointId: string; readonly address: string};

type Pending = (result: Result<LinkGrant, Failure>) => void;
type MessageHandlers = {readonly [T in AllocatorMessage['type']]: (message: Extract<AllocatorMessage, {type: T}>) => void};

/** The link to the allocators of one peer, kept up by one task. */
export class SlotLink {
	readonly #options: SlotLinkOptions;
	readonly #pending = new Map<number, Pending>();
	readonly #stop = new AbortController();
	readonly #services = new Set<string>();
	#channel: FrameChannel<HostMessage, AllocatorMessage> | undefined;
	#socket: WebSocket | undefined;
	#state: LinkState = LinkState.connecting;
	#waiting: Array<() => void> = [];
	#hasFailed = false;
	#lastMessageAt = 0;
	#lastBeatAt = 0;
	#lastAcquireAt = -Infinity;
	#nextId = 1;
	#bytes = {sent: 0, received: 0};

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
		beat() {/* Any message shows that the peer works. */},
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

	/** Services whose slots were asked for on this link. */
	get services(): ReadonlySet<string> {
		return this.#services;
	}

	/** Bytes of control messages sent and received on this link. */
	get bytes(): {readonly sent: number; readonly received: number} {
		const current = this.#channel?.bytes ?? {sent: 0, received: 0};
		return {sent: this.#bytes.sent + current.sent, received: this.#bytes.received + current.received};
	}

	/** Whether the allocator was heard of recently enough to rely on what it granted. */
	get isFresh(): boolean {
		return this.#state === LinkState.open && this.#options.clock() - this.#lastMessageAt < this.#options.silenceMilliseconds;
	}

	/** Whether the allocator was heard of so recently that it has not taken leased slots back. */
	get isLeaseFresh(): boolean {
		return this.#state === LinkState.open && this.#options.clock() - this.#lastMessageAt < this.#options.leaseMilliseconds;
	}

	/** Keeps the link up until it is closed. */
	async run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			this.#state = LinkState.connecting;
			await this.#runConnection();
			this.#state = LinkState.closed;
			this.#notifyWaiting();
			await this.#waitRetry();
		}
	}

	/** Closes the link for good. */
	close(): void {
		this.#stop.abort();
		this.#socket?.terminate();
	}

	/** Breaks the connection; the task opens a new one. */
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
		// After a failure the next host in order serves; a request must not wait for each further try.
		if (this.#state !== LinkState.connecting || this.#hasFailed) {
			return this.#state === LinkState.open;
		}

		await new Promise<void>(resolve => {
			this.#waiting.push(resolve);
			setTimeout(resolve, milliseconds);
		});
		return (this.#state as LinkState) === LinkState.open;
	}

	/**
	 * Asks the allocator for a slot.
	 *
	 * @param request - What the slot is for.
	 * @param signal - Ends the wait.
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
	 * Gives a slot back.
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
	 * Tells the allocator about a slot in use that was leased or that another allocator gave.
	 *
	 * @param held - The slot.
	 */
	adopt(held: HeldSlot): void {
		this.#lastAcquireAt = this.#options.clock();
		this.#channel?.send({type: 'adopt', held});
	}

	/**
	 * Gives a leased slot back.
	 *
	 * @param grantId - Id of the lease.
	 * @param service - Service of the slot.
	 */
	releaseLease(grantId: string, service: string): void {
		this.#channel?.send({type: 'return', grantId, service});
	}

	/**
	 * Tells the allocator that this host uses another one for a service.
	 *
	 * @param service - Name of the service.
	 */
	announceMoved(service: string): void {
		if (this.#services.delete(service)) {
			this.#channel?.send({type: 'moved', service});
		}
	}

	async #waitRetry(): Promise<void> {
		const {signal} = this.#stop;
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, this.#options.retryMilliseconds);
			signal.addEventListener('abort', finish, {once: true});
		});
	}

	async #runConnection(): Promise<void> {
		const {peerAddress, key, silenceMilliseconds, getAuthority} = this.#options;
		const socket = new WebSocket(`${getAuthority ? 'wss' : 'ws'}://${peerAddress}${slotPath}`, {
			headers: {[keyHeader]: key}, perMessageDeflate: false, handshakeTimeout: silenceMilliseconds, ca: getAuthority?.(),
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
			this.#beat(socket);
		}, this.#options.beatMilliseconds / 2);
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
		this.#notifyWaiting();
	}

	#beat(socket: WebSocket): void {
		if (this.#state !== LinkState.open) {
			return;
		}

		if (this.#options.clock() - this.#lastMessageAt > this.#options.silenceMilliseconds) {
			socket.terminate();
			return;
		}

		// Any message shows that both sides work, so heartbeats fill gaps only, and fewer of them while nobody asks for slots.
		const now = this.#options.clock();
		const {beatMilliseconds, idleBeatMilliseconds} = this.#options;
		const gap = now - this.#lastAcquireAt < idleAfterMilliseconds ? beatMilliseconds : idleBeatMilliseconds;
		if (now - Math.max(this.#lastMessageAt, this.#lastBeatAt) >= gap) {
			this.#lastBeatAt = now;
			this.#channel?.send({type: 'beat', sequence: this.#nextId});
		}
	}

	#finishConnection(): void {
		if (this.#state === LinkState.open) {
			logger.log(LogLevel.info, 'link-closed', {peer: this.peerId});
		}

		this.#state = LinkState.closed;
		this.#hasFailed = true;
		this.#bytes = this.bytes;
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

	#takePending(id: number): Pending | undefined {
		const settle = this.#pending.get(id);
		this.#pending.delete(id);
		return settle;
	}

	#notifyWaiting(): void {
		for (const notify of this.#waiting) {
			notify();
		}

		this.#waiting = [];
	}
}
