import {Packr, Unpackr} from 'msgpackr';
import type {WebSocket} from 'ws';
import type {Frame} from './slot-messages.js';

/** Options of {@link FrameChannel}. */
export type FrameChannelOptions<Received> = {
	readonly socket: WebSocket;
	/** Returns the highest configuration revision known to this host. */
	readonly getRevision: () => number;
	readonly onFrame: (frame: Frame<Received>) => void;
	/** Called when a frame cannot be decoded, before the socket is terminated. */
	readonly onInvalid: () => void;
};

/** Sends and receives frames on one socket; all messages sent in one event-loop turn share a frame. */
export class FrameChannel<Sent, Received> {
	readonly #options: FrameChannelOptions<Received>;
	// msgpackr numbers record structures in the order of their first use, so each direction needs its own codec.
	readonly #encoder = new Packr({sequential: true});
	readonly #decoder = new Unpackr({sequential: true});
	#messages: Sent[] = [];
	#bytesSent = 0;
	#bytesReceived = 0;

	constructor(options: FrameChannelOptions<Received>) {
		this.#options = options;
		options.socket.on('message', (data: Uint8Array) => {
			this.#receive(data);
		});
	}

	/** Bytes sent and received so far. */
	get bytes(): {readonly sent: number; readonly received: number} {
		return {sent: this.#bytesSent, received: this.#bytesReceived};
	}

	/**
	 * Sends a message at the end of this event-loop turn.
	 *
	 * @param message - The message.
	 */
	send(message: Sent): void {
		this.#messages.push(message);
		if (this.#messages.length === 1) {
			setImmediate(() => {
				this.#flush();
			});
		}
	}

	#flush(): void {
		const {socket, getRevision} = this.#options;
		const messages = this.#messages;
		this.#messages = [];
		if (socket.readyState !== socket.OPEN) {
			return;
		}

		const frame = this.#encoder.pack({revision: getRevision(), messages} satisfies Frame<Sent>);
		this.#bytesSent += frame.length;
		socket.send(frame);
	}

	#receive(data: Uint8Array): void {
		const {socket, onFrame, onInvalid} = this.#options;
		this.#bytesReceived += data.length;
		let frame: Frame<Received>;
		try {
			frame = this.#decoder.unpack(data) as Frame<Received>;
		} catch {
			onInvalid();
			socket.terminate();
			return;
		}

		onFrame(frame);
	}
}
