import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {
	buildOperatorConfiguration, defaultVariableSpeedWorkOptions, VariableSpeedWork, StandInRoutedEndpoint, StandInRowStore,
} from '@tanagerrail/stand-ins';
import {RandomSource} from '../load/index.js';
import {SoakHost} from '../soak/index.js';

/** Name of the only service, and path prefix of its route. */
export const shiftingService = 'reads';

/** Latency objective of the route. */
export const objectiveMilliseconds = 250;

const timeoutMilliseconds = 1500;
const cores = 2;

/** Options of {@link ShiftingFleet}. */
export type ShiftingFleetOptions = {
	readonly seed: number;
	readonly hosts: number;
	readonly endpoints: number;
	/** Script that the hosts run instead of the product's. */
	readonly script: string | undefined;
};

/** Edge hosts as separate processes, and endpoints in this process whose processing speed changes several times a second. */
export class ShiftingFleet {
	readonly endpoints: readonly StandInRoutedEndpoint[];
	readonly #store = new StandInRowStore();
	readonly #options: ShiftingFleetOptions;
	readonly #directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tanagerrail-shifting-'));
	#work: readonly VariableSpeedWork[] = [];
	#hosts: readonly SoakHost[] = [];

	constructor(options: ShiftingFleetOptions) {
		this.#options = options;
		this.endpoints = Array.from({length: options.endpoints}, (_, index) => new StandInRoutedEndpoint({id: `endpoint-${index}`, slots: defaultVariableSpeedWorkOptions.slots}));
	}

	/** `ip:port` of each host for callers. */
	get addresses(): readonly string[] {
		return this.#hosts.map(({address}) => address);
	}

	/** Number of requests that the endpoints refused because they were full. */
	get shed(): number {
		return this.#work.reduce((sum, {shed}) => sum + shed, 0);
	}

	/** Number of requests that reached endpoints, including refused ones. */
	get attempts(): number {
		return this.endpoints.reduce((sum, {requests}) => sum + requests.length, 0);
	}

	/** Starts the store, endpoints and hosts, and waits until every host is ready. */
	async start(): Promise<void> {
		const {seed, hosts, script} = this.#options;
		await this.#store.start();
		await Promise.all(this.endpoints.map(async endpoint => endpoint.start()));
		this.#work = this.endpoints.map((endpoint, index) => {
			const random = new RandomSource(seed + index);
			return new VariableSpeedWork({endpoint, draw: () => random.draw()});
		});
		this.#publish();
		this.#hosts = Array.from({length: hosts}, (_, index) => new SoakHost({
			id: `host-${index}`, failureDomain: 'zone-a', cores, directory: this.#directory, storeAddress: this.#store.address, script,
		}));
		const seeds = this.#hosts.map(({peerAddress}) => peerAddress);
		await Promise.all(this.#hosts.map(async host => host.start(seeds)));
		await Promise.all(this.#hosts.map(async host => host.waitReady()));
	}

	/** Stops the hosts, endpoints and store, and removes the directory of settings and logs. */
	async stop(): Promise<void> {
		await Promise.all(this.#hosts.map(async host => host.close()));
		for (const work of this.#work) {
			work.stop();
		}

		await Promise.all(this.endpoints.map(async endpoint => endpoint.stop()));
		await this.#store.stop();
		fs.rmSync(this.#directory, {recursive: true});
	}

	/** Writes the configuration and the registry entries of the endpoints to the store. */
	#publish(): void {
		for (const endpoint of this.endpoints) {
			this.#store.put('servers', endpoint.id, endpoint.buildRegistryEntry(shiftingService));
		}

		this.#store.put('op', 'config', buildOperatorConfiguration({
			revision: 1,
			routes: [{
				path_prefix: `/${shiftingService}/`, service: shiftingService, timeout_ms: timeoutMilliseconds, target_latency_ms: objectiveMilliseconds, max_attempts: 3,
			}],
			services: [shiftingService],
		}));
	}
}
