import path from 'node:path';
import type {BaselineArguments} from '../baselines/baseline-main.js';
import {
	ManagedProcess, Testbed, type TestbedOptions,
} from '../testbed/index.js';
import {readPorts} from '../testbed/read-ports.js';
import {Variant} from './variant.js';

/** Options of {@link Fleet}. */
export type FleetOptions = {
	readonly variant: Variant;
	readonly seed: number;
	/** Number of entry hosts of the product and of each baseline; the bound always has one. */
	readonly entries: number;
	readonly testbed: Pick<TestbedOptions, 'services'> & Partial<TestbedOptions>;
};

/** The entry hosts of one variant and the endpoints behind them. */
export class Fleet {
	/**
	 * Starts endpoints and entry hosts.
	 *
	 * @param options - Variant and numbers of processes.
	 * @returns The running fleet.
	 */
	static async start({variant, seed, entries, testbed: options}: FleetOptions): Promise<Fleet> {
		if (variant === Variant.product) {
			const testbed = await Testbed.start({...options, entries});
			return new Fleet(testbed, testbed.entries.map(({address}) => address), testbed.entries.map(entry => entry.process));
		}

		const testbed = await Testbed.start({...options, entries: 0});
		const count = variant === Variant.bound ? 1 : entries;
		const processes = Array.from({length: count}, (_, i) => spawnBaseline(testbed, {
			policy: variant, seed: seed + i, configuration: testbed.configuration, endpoints: testbed.endpoints,
		}));
		try {
			const ports = await Promise.all(processes.map(async child => readPorts(child)));
			// Each arrival names one of `entries` hosts by index; for the bound, all indexes map to its single process.
			const addresses = Array.from({length: entries}, (_, i) => `127.0.0.1:${ports[i % count]![0]}`);
			return new Fleet(testbed, addresses, processes);
		} catch (error) {
			await stopProcesses(processes, testbed);
			throw error;
		}
	}

	private constructor(
		readonly testbed: Testbed,
		readonly addresses: readonly string[],
		readonly processes: readonly ManagedProcess[],
	) {}

	/** Kills all processes and removes the directory of the testbed. */
	async stop(): Promise<void> {
		await stopProcesses(this.processes, this.testbed);
	}
}

function spawnBaseline(testbed: Testbed, options: BaselineArguments): ManagedProcess {
	return new ManagedProcess({
		name: `${options.policy}-${options.seed}`,
		args: [path.join(import.meta.dirname, '../baselines/baseline-main.js'), JSON.stringify(options)],
		logFile: path.join(testbed.directory, `${options.policy}-${options.seed}.log`),
	});
}

async function stopProcesses(processes: readonly ManagedProcess[], testbed: Testbed): Promise<void> {
	for (const child of processes) {
		child.kill();
	}

	await Promise.all(processes.map(async child => child.waitForExit()));
	await testbed.stop();
}
