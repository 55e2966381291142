import type {WebSocket} from 'ws';
import {createFailure} from '@tanagerrail/results';
import type {AllocationTicket} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {FrameChannel} from './frame-channel.js';
import type {AllocatorMessage, HelloMessage, HostMessage} from './slot-messages.js';
import type {SlotServerOptions} from './slot-server.js';

const logger = createLogger('peers');

type MessageHandlers = {readonly [T in HostMessage['type']]: (message: Extract<HostMessage, {type: T}>) => void};

/** The server side of a slot link: one peer's connection to the allocators of this host. */
export class PeerLink {
	readonly #options: SlotServerOptions;
	readonly #channel: FrameChannel<AllocatorMessage, HostMessage>;
	readonly #tickets = new Map<number, AllocationTicket>();
	readonly #timer: NodeJS.Timeout;
	#hello: HelloMessage | undefined;
	/** Whether a frame was received since the last run of the timer. */
	#hasRecentMessage = true;

	readonly #handlers: MessageHandlers = {
		hello: message => {
			this.#hello = message;
			this.#options.directory.recordHello(message.hostId);
			this.#adoptHello(message);
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
			const lease = this.#options.registry.get(service)?.releaseOrLease(grantId, release);
			if (lease) {
				this.send({type: 'lease', service, ...lease});
			}
		},
		return: ({grantId, service}) => {
			this.#options.registry.get(service)?.releaseLease(grantId);
		},
		adopt: ({held}) => {
			this.#adoptSlot(held);
		},
		moved: ({service}) => {
			this.#options.registry.recordMoved(service, this.hostId);
		},
		crashes: ({service, records}) => {
			this.#options.registry.adoptCrashes(service, records);
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
				this.#hasRecentMessage = true;
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
			if (!this.#hasRecentMessage) {
				socket.terminate();
			}

			this.#hasRecentMessage = false;
		}, options.silenceTimeoutMilliseconds);
	}

	/** Id of the peer; empty before its hello message. */
	get hostId(): string {
		return this.#hello?.hostId ?? '';
	}

	/**
	 * Sends a message to the peer.
	 *
	 * @param message - The message.
	 */
	send(message: AllocatorMessage): void {
		this.#channel.send(message);
	}

	/** Reclaims the peer's slots after its link has closed. */
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

		registry.addHost(request.service, this.hostId);
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

	#adoptHello({held, crashes, drains}: HelloMessage): void {
		const {registry} = this.#options;
		for (const slot of held) {
			this.#adoptSlot(slot);
		}

		for (const {service, ...record} of crashes) {
			registry.adoptCrashes(service, [record]);
		}

		for (const {service, endpointId} of drains) {
			registry.get(service)?.drainEndpoint(endpointId, `host ${this.hostId} received a draining notice`);
		}
	}

	#adoptSlot({grantId, endpointId, request}: HelloMessage['held'][number]): void {
		this.#options.registry.get(request.service)?.adopt(grantId, {
			hostId: this.hostId, failureDomain: this.#hello?.failureDomain ?? '', request, endpointId,
		});
	}
}
