import {
	chooseLoopbackAddress, StandInEndpoint, type EndpointBehaviour, type EndpointRequestRecord,
} from '@tanagerrail/stand-ins';

/** Options of {@link FleetEndpoint}. */
export type FleetEndpointOptions = {
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly behaviour: Partial<EndpointBehaviour>;
};

/** One endpoint stand-in of a fleet; its log of runs survives restarts. */
export class FleetEndpoint {
	readonly standIn: StandInEndpoint;
	/** Whether the host list shows the endpoint as leaving. */
	isLeaving = false;
	readonly #host = chooseLoopbackAddress();
	#port = 0;
	#isRunning = false;

	constructor(readonly options: FleetEndpointOptions) {
		this.standIn = new StandInEndpoint(options.behaviour);
	}

	get id(): string {
		return this.options.id;
	}

	/** `ip:port`. */
	get address(): string {
		return `${this.#host}:${this.#port}`;
	}

	get runs(): readonly EndpointRequestRecord[] {
		return this.standIn.requestRecords;
	}

	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Starts listening, after a restart on the same port as before. Does nothing while the endpoint runs. */
	async start(): Promise<void> {
		if (!this.#isRunning) {
			this.#isRunning = true;
			this.#port = await this.standIn.start(this.#port, this.#host);
		}
	}

	/** Stops immediately and resets all connections. */
	kill(): void {
		if (this.#isRunning) {
			this.#isRunning = false;
			this.standIn.stop();
		}
	}
}
