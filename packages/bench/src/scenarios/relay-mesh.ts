import {type RelayCut, RelayDirection, TcpRelay} from '@tanagerrail/stand-ins';

/** A simulated network cut between two processes. */
export type MeshCut = {
	/** Process that opens connections. */
	readonly from: string;
	/** Process that accepts them. */
	readonly to: string;
	readonly cut: RelayCut;
	/** Direction in which bytes are dropped. */
	readonly direction: RelayDirection;
};

/** The relays between all pairs of processes that open connections to each other. */
export class RelayMesh {
	readonly #relays = new Map<string, {readonly relay: TcpRelay; readonly address: string}>();

	/**
	 * Adds a relay.
	 *
	 * @param from - Process that opens connections.
	 * @param to - Process that accepts them.
	 * @param target - `ip:port` of the accepting process.
	 */
	async add(from: string, to: string, target: string): Promise<void> {
		const relay = new TcpRelay(target);
		this.#relays.set(`${from} ${to}`, {relay, address: await relay.start()});
	}

	/**
	 * Finds the address at which one process reaches another.
	 *
	 * @param from - Process that opens connections.
	 * @param to - Process that accepts them.
	 * @returns `ip:port` of the relay, or `undefined` when there is none.
	 */
	findAddress(from: string, to: string): string | undefined {
		return this.#relays.get(`${from} ${to}`)?.address;
	}

	/**
	 * Cuts the connections between two processes, regardless of which of them opens them.
	 *
	 * @param mesh - The processes and the kind of cut.
	 * @returns Number of relays cut.
	 */
	disconnect({from, to, cut, direction}: MeshCut): number {
		const opposite = {forward: RelayDirection.back, back: RelayDirection.forward, both: RelayDirection.both} as const;
		const forwardRelay = this.#relays.get(`${from} ${to}`);
		const reverseRelay = this.#relays.get(`${to} ${from}`);
		forwardRelay?.relay.disconnect(cut, direction);
		reverseRelay?.relay.disconnect(cut, opposite[direction]);
		return (forwardRelay ? 1 : 0) + (reverseRelay ? 1 : 0);
	}

	/**
	 * Permanently drops all traffic on the connections that are currently open; new connections work.
	 *
	 * @param from - Process that opened them.
	 * @param to - Process that accepted them.
	 */
	disconnectOpen(from: string, to: string): void {
		this.#relays.get(`${from} ${to}`)?.relay.disconnectOpenConnections();
	}

	/**
	 * Removes the cuts between two processes.
	 *
	 * @param from - One process.
	 * @param to - The other process.
	 */
	async restore(from: string, to: string): Promise<void> {
		await this.#relays.get(`${from} ${to}`)?.relay.restore();
		await this.#relays.get(`${to} ${from}`)?.relay.restore();
	}

	/** Stops all relays. */
	stop(): void {
		for (const {relay} of this.#relays.values()) {
			relay.stop();
		}
	}
}
