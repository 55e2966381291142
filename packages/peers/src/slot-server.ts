import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocketServer, type WebSocket} from 'ws';
import type {HostDirectory} from '@tanagerrail/membership';
import type {AllocatorRegistry} from './allocator-registry.js';
import {PeerLink} from './peer-link.js';
import type {AllocatorMessage} from './slot-messages.js';
import {keyHeader, verifyKey} from './verify-key.js';

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
	/** Called with the configuration revision in each frame of a peer. */
	readonly onRevision: (revision: number, hostId: string) => void;
	/** Time without any received message after which a link is closed, in milliseconds. */
	readonly silenceTimeoutMilliseconds: number;
};

/** Defaults of {@link SlotServerOptions}. */
export const defaultSlotServerOptions = {silenceTimeoutMilliseconds: 500};

/** Accepts slot links of peers, which use the allocators of this host. */
export class SlotServer {
	readonly #options: SlotServerOptions;
	readonly #webSocketServer = new WebSocketServer({noServer: true, perMessageDeflate: false, maxPayload: 1_048_576});
	readonly #links = new Map<WebSocket, PeerLink>();

	constructor(options: Partial<SlotServerOptions> & Omit<SlotServerOptions, 'silenceTimeoutMilliseconds'>) {
		this.#options = {...defaultSlotServerOptions, ...options};
		this.#options.registry.addListener({
			onRecall: (service, hostId) => {
				this.#sendTo(hostId, {type: 'recall', service});
			},
			onDrain: (service, endpointId) => {
				this.#sendToAll({type: 'drain', service, endpointId});
			},
			onCrash: (service, record) => {
				this.#sendToAll({type: 'crashes', service, records: [record]});
			},
		});
		this.#options.server.on('upgrade', (req: IncomingMessage, socket: Duplex, head: Buffer) => {
			this.#accept(req, socket, head);
		});
	}

	/** Ids of the hosts with an open link. */
	get hostIds(): string[] {
		return [...this.#links.values()].map(({hostId}) => hostId).filter(Boolean);
	}

	/** Notifies all peers that this host no longer grants slots. */
	sendGoodbye(): void {
		this.#sendToAll({type: 'goodbye'});
	}

	/** Terminates all links. */
	close(): void {
		for (const socket of this.#links.keys()) {
			socket.terminate();
		}
	}

	#sendTo(hostId: string, message: AllocatorMessage): void {
		for (const link of this.#links.values()) {
			if (link.hostId === hostId) {
				link.send(message);
			}
		}
	}

	#sendToAll(message: AllocatorMessage): void {
		for (const link of this.#links.values()) {
			link.send(message);
		}
	}

	#accept(req: IncomingMessage, socket: Duplex, head: Buffer): void {
		if (req.url !== slotPath || !verifyKey(req.headers[keyHeader], this.#options.keys)) {
			socket.end('HTTP/1.1 401 Unauthorized\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
			return;
		}

		this.#webSocketServer.handleUpgrade(req, socket, head, webSocket => {
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
