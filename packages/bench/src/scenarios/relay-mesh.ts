import {type RelayCut, RelayDirection, TcpRelay} from '@tanagerrail/stand-ins';

/** A cut between two processes. */
export type MeshCut = {
	/** Process that opens connections. */
	readonly from: string;
	/** Process that accepts them. */
	readonly to: string;
	readonly cut: RelayCut;
	/** Direction in which bytes vanish. */
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
	 * @returns `ip:port` of the relay, or nothing when there is none.
	 */
	findAddress(from: string, to: string): string | undefined {
		return this.#relays.get(`${from} ${to}`)?.address;
	}

	/**
	 * Cuts the connections between two processes, whichever of them opens them.
	 *
	 * @param mesh - The processes and the kind of cut.
	 * @returns Number of relays cut.
	 */
	disconnect({from, to, cut, direction}: MeshCut): number {
		const opposite = {forward: RelayDirection.back, back: RelayDirection.forward, both: RelayDirection.both} as const;
		const there = this.#relays.get(`${from} ${to}`);
		const back = this.#relays.get(`${to} ${from}`);
		there?.relay.disconnect(cut, direction);
		back?.relay.disconnect(cut, opposite[direction]);
		return (there ? 1 : 0) + (back ? 1 : 0);
	}

	/**
	 * Makes the connections that are open now silent for good, while new ones work.
	 *
	 * @param from - Process that opened them.
	 * @param to - Process that accepted them.
	 */
	disconnectOpen(from: string, to: string): void {
		this.#relays.get(`${from} ${to}`)?.relay.disconnectOpen();
	}

	/**
	 * Ends the cuts between two processes.
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
