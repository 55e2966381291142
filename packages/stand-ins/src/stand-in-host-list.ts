import {createServer, type Server} from 'node:http';

/** One row of the list in the HTTP service discovery format of Prometheus. */
export type TargetGroup = {
	readonly targets: readonly string[];
	readonly labels: Readonly<Record<string, string>>;
};

/** Serves a list of hosts that lags behind the truth. */
export class StandInHostList {
	readonly #server: Server;
	readonly #lagMilliseconds: number;
	#rows: readonly TargetGroup[] = [];
	#isDown = false;

	constructor({lagMilliseconds = 0} = {}) {
		this.#lagMilliseconds = lagMilliseconds;
		this.#server = createServer((_req, res) => {
			if (this.#isDown) {
				res.writeHead(503).end();
				return;
			}

			res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(this.#rows));
		});
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port; 0 picks a free one.
	 * @returns URL of the list.
	 */
	async start(port = 0): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		const address = this.#server.address();
		return `http://127.0.0.1:${typeof address === 'object' && address ? address.port : port}/hosts`;
	}

	/**
	 * Replaces the list after its lag.
	 *
	 * @param rows - All rows.
	 */
	update(rows: readonly TargetGroup[]): void {
		setTimeout(() => {
			this.#rows = rows;
		}, this.#lagMilliseconds).unref();
	}

	/**
	 * Makes the list unavailable or available again.
	 *
	 * @param isDown - Whether reads fail.
	 */
	setDown(isDown: boolean): void {
		this.#isDown = isDown;
	}

	/** Stops at once. */
	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
