import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocketServer, type WebSocket} from 'ws';
import type {HostDirectory} from '@tanagerrail/membership';
import {createFailure} from '@tanagerrail/results';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {AllocationTicket} from '@tanagerrail/routing';
import type {AllocatorRegistry} from './allocator-registry.js';
import {FrameChannel} from './frame-channel.js';
import type {AllocatorMessage, HelloMessage, HostMessage} from './slot-messages.js';
import {keyHeader, verifyKey} from './verify-key.js';

const logger = createLogger('peers');

/** Path of the slot channel on the peer address. */
export const slotPath = '/slots';

/** Options of {@link SlotServer}. */
export type SlotServerOptions = {
	readonly server: Server;
	readonly registry: AllocatorRegistry;
	readonly directory: HostDirectory;
	/** Valid keys; two during a rotation. */
	readonly keys: readonly string[];
	readonly getRevision: () => number;
	/** Called with the revision in each frame of a peer. */
	readonly onRevision: (revision: number, hostId: string) => void;
	/** A link without any message for this long is closed, in milliseconds. */
	readonly silenceMilliseconds: number;
};

/** Defaults of {@link SlotServerOptions}. */
export const defaultSlotServerOptions = {silenceMilliseconds: 500};

/** Serves the allocators of this host to its peers, one task for each link. */
export class SlotServer {
	readonly #options: SlotServerOptions;
	readonly #sockets = new WebSocketServer({noServer: true, perMessageDeflate: false, maxPayload: 1_048_576});
	readonly #links = new Map<WebSocket, PeerLink>();

	constructor(options: Partial<SlotServerOptions> & Omit<SlotServerOptions, 'silenceMilliseconds'>) {
		this.#options = {...defaultSlotServerOptions, ...options};
		this.#options.server.on('upgrade', (req: IncomingMessage, socket: Duplex, head: Buffer) => {
			this.#accept(req, socket, head);
		});
	}

	/** Ids of the hosts with an open link. */
	get hostIds(): string[] {
		return [...this.#links.values()].map(({hostId}) => hostId).filter(Boolean);
	}

	/** Tells all peers that this host hands out no slots any more. */
	announceGoodbye(): void {
		for (const link of this.#links.values()) {
			link.send({type: 'goodbye'});
		}
	}

	/** Breaks all links. */
	close(): void {
		for (const socket of this.#links.keys()) {
			socket.terminate();
		}
	}

	#accept(req: IncomingMessage, socket: Duplex, head: Buffer): void {
		if (req.url !== slotPath || !verifyKey(req.headers[keyHeader], this.#options.keys)) {
			socket.end('HTTP/1.1 401 Unauthorized\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
			return;
		}

		this.#sockets.handleUpgrade(req, socket, head, webSocket => {
			const link = new PeerLink(webSocket, this.#options);
			this.#links.set(webSocket, link);
			webSocket.once('close', () => {
				this.#links.delete(webSocket);
				link.close();
			});
			webSocket.on('error', () => {
				webSocket.terminate();
			});
		});
	}
}

type MessageHandlers = {readonly [T in HostMessage['type']]: (message: Extract<HostMessage, {type: T}>) => void};

/** One peer's link to the allocators of this host. */
class PeerLink {
	readonly #options: SlotServerOptions;
	readonly #channel: FrameChannel<AllocatorMessage, HostMessage>;
	readonly #tickets = new Map<number, AllocationTicket>();
	readonly #timer: NodeJS.Timeout;
	#hello: HelloMessage | undefined;
	#hasMessage = true;

	readonly #handlers: MessageHandlers = {
		hello: message => {
			this.#hello = message;
			this.#options.directory.recordHello(message.hostId);
			this.#adopt(message);
			logger.log(LogLevel.info, 'peer-connected', {peer: message.hostId, incarnation: message.incarnation});
		},
		acquire: ({id, request}) => {
			this.#acquire(id, request);
		},
		cancel: ({id}) => {
			const ticket = this.#tickets.get(id);
			if (ticket) {
				this.#options.registry.get(ticket.request.service)?.cancel(ticket);
			}
		},
		release: ({grantId, service, release}) => {
			this.#options.registry.get(service)?.release(grantId, release);
		},
		adopt: ({held}) => {
			this.#adoptSlot(held);
		},
		moved: ({service}) => {
			this.#options.registry.recordMoved(service, this.hostId);
		},
		beat: ({sequence}) => {
			this.send({type: 'beat', sequence});
		},
	};

	constructor(socket: WebSocket, options: SlotServerOptions) {
		this.#options = options;
		this.#channel = new FrameChannel({
			socket,
			getRevision: options.getRevision,
			onFrame: ({revision, messages}) => {
				this.#hasMessage = true;
				for (const message of messages) {
					this.#handle(message);
				}

				options.onRevision(revision, this.hostId);
			},
			onInvalid: () => {
				logger.logFailure(LogLevel.warn, 'internal-error', createFailure('peer-message-invalid', {host: this.hostId}));
			},
		});
		this.#timer = setInterval(() => {
			if (!this.#hasMessage) {
				socket.terminate();
			}

			this.#hasMessage = false;
		}, options.silenceMilliseconds);
	}

	get hostId(): string {
		return this.#hello?.hostId ?? '';
	}

	send(message: AllocatorMessage): void {
		this.#channel.send(message);
	}

	close(): void {
		clearInterval(this.#timer);
		if (this.#hello) {
			this.#options.registry.removeHost(this.hostId);
			logger.log(LogLevel.info, 'peer-lost', {peer: this.hostId});
		}
	}

	#handle<T extends HostMessage['type']>(message: Extract<HostMessage, {type: T}>): void {
		const handler = this.#handlers[message.type] as ((message: HostMessage) => void) | undefined;
		if (handler && (this.#hello ?? message.type === 'hello')) {
			handler(message);
		}
	}

	#acquire(id: number, request: AllocationTicket['request']): void {
		const {registry} = this.#options;
		const allocator = registry.get(request.service);
		if (!allocator) {
			this.send({
				type: 'refuse', id, code: 'no-endpoint', parameters: {service: request.service},
			});
			return;
		}

		registry.addUser(request.service, this.hostId);
		let isSettled = false;
		const ticket = allocator.acquire({
			hostId: this.hostId,
			failureDomain: this.#hello?.failureDomain ?? '',
			request,
			onSettled: result => {
				isSettled = true;
				this.#tickets.delete(id);
				this.send(result.isOk()
					? {type: 'grant', id, ...result.value}
					: {
						type: 'refuse', id, code: result.error.id, parameters: result.error.parameters,
					});
			},
		});
		if (!isSettled) {
			this.#tickets.set(id, ticket);
		}
	}

	#adopt({held, crashes, drains}: HelloMessage): void {
		const {registry} = this.#options;
		for (const slot of held) {
			this.#adoptSlot(slot);
		}

		for (const {service, fingerprint, crashes: count} of crashes) {
			registry.get(service)?.quarantine.record(fingerprint, count);
		}

		for (const {service, endpointId} of drains) {
			registry.get(service)?.drainEndpoint(endpointId, `host ${this.hostId} saw a draining notice`);
		}
	}

	#adoptSlot({grantId, endpointId, request}: HelloMessage['held'][number]): void {
		this.#options.registry.get(request.service)?.adopt(grantId, {
			hostId: this.hostId, failureDomain: this.#hello?.failureDomain ?? '', request, endpointId,
		});
	}
}
