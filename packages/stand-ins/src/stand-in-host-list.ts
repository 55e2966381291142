import {z} from 'zod';
import type {PlatformFaults} from './platform-faults.js';
import {PlatformServer, type PlatformRequest, type PlatformResponse} from './platform-server.js';

const targetGroupsSchema = z.array(z.object({
	targets: z.array(z.string()),
	labels: z.record(z.string(), z.string()),
}));

/** A target group of Prometheus's HTTP service discovery format: one row of the list. */
export type TargetGroup = {
	readonly targets: readonly string[];
	readonly labels: Readonly<Record<string, string>>;
};

/**
 * Serves a list of hosts whose updates take effect after a configurable lag. `PUT /-/rows` replaces the list,
 * `PUT /-/faults` changes the faults.
 */
export class StandInHostList {
	readonly #server: PlatformServer;
	readonly #lagMilliseconds: number;
	#rows: readonly TargetGroup[] = [];
	#controlUrl = '';

	constructor({lagMilliseconds = 0} = {}) {
		this.#lagMilliseconds = lagMilliseconds;
		this.#server = new PlatformServer({
			isWrite: () => false,
			serve: () => ({status: 200, headers: {'content-type': 'application/json'}, body: JSON.stringify(this.#rows)}),
			controls: {'PUT /-/rows': request => this.#receiveRows(request)},
		});
	}

	/** URL that serves `/-/faults` and `/-/rows` even while connections to the list are refused. */
	get controlUrl(): string {
		return this.#controlUrl;
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port; 0 picks a free one.
	 * @returns URL of the list.
	 */
	async start(port = 0): Promise<string> {
		const {url, controlUrl} = await this.#server.start(port);
		this.#controlUrl = controlUrl;
		return `${url}/hosts`;
	}

	/**
	 * Replaces the list after the lag.
	 *
	 * @param rows - All rows of the new list.
	 */
	update(rows: readonly TargetGroup[]): void {
		setTimeout(() => {
			this.#rows = rows;
		}, this.#lagMilliseconds).unref();
	}

	/**
	 * Changes the faults.
	 *
	 * @param faults - The faults to change.
	 */
	async setFaults(faults: Partial<PlatformFaults>): Promise<void> {
		await this.#server.update(faults);
	}

	/**
	 * Makes the list unavailable or available again.
	 *
	 * @param isDown - Whether reads fail.
	 */
	setDown(isDown: boolean): void {
		void this.setFaults({down: isDown ? 'unavailable' : 'none'});
	}

	/** Stops immediately. */
	stop(): void {
		this.#server.stop();
	}

	#receiveRows({body}: PlatformRequest): PlatformResponse {
		try {
			this.update(targetGroupsSchema.parse(JSON.parse(Buffer.from(body).toString())));
			return {status: 204};
		} catch {
			return {status: 400, body: 'The rows are malformed.\n'};
		}
	}
}
