import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import type {Configuration, ServiceConfiguration} from '@tanagerrail/configuration';
import {StandInHostList, type EndpointBehaviour, type TargetGroup} from '@tanagerrail/stand-ins';
import {EndpointGroup, type EndpointAddress} from './endpoint-group.js';
import {EntryProcess} from './entry-process.js';
import {chooseEntryAddresses, type EntryAddresses} from './choose-entry-addresses.js';

/** One service of a testbed. */
export type TestbedService = {
	readonly configuration: ServiceConfiguration;
	/** Number of endpoint stand-ins. */
	readonly endpoints: number;
	readonly behaviour?: Partial<EndpointBehaviour>;
};

/** Options of {@link Testbed}. */
export type TestbedOptions = {
	/** Number of entry processes; 0 when only the endpoints are needed. */
	readonly entries: number;
	readonly services: readonly TestbedService[];
	readonly failureDomains: number;
	/** Lag of the host list in milliseconds. */
	readonly listLagMilliseconds: number;
	/** Fields of the configuration other than the services. */
	readonly configuration: Partial<Configuration>;
	/** Sections of each settings file that replace the generated ones; `platform` is merged. */
	readonly settings: Readonly<Record<string, unknown>>;
	/** Existing directory for settings and logs; by default a temporary one, which is removed by {@link Testbed.stop}. */
	readonly directory: string | undefined;
};

/** Defaults of {@link TestbedOptions}. */
export const defaultTestbedOptions: Omit<TestbedOptions, 'services'> = {
	entries: 3, failureDomains: 3, listLagMilliseconds: 0, configuration: {}, settings: {}, directory: undefined,
};

const defaultConfiguration: Omit<Configuration, 'services'> = {
	revision: 1, measuring: {probesPerSecond: 10, bytesPerSecond: 10_000}, tableWritesPerSecond: 400,
};

/** Entry processes, endpoint stand-ins and a host list on the loopback address. */
export class Testbed {
	/**
	 * Starts all processes and waits until each entry host is ready.
	 *
	 * @param options - Services and numbers of processes.
	 * @returns The running testbed. When the start fails, all processes are stopped and the logs are kept.
	 */
	static async start(options: Partial<TestbedOptions> & Pick<TestbedOptions, 'services'>): Promise<Testbed> {
		const testbed = new Testbed({...defaultTestbedOptions, ...options});
		try {
			await testbed.#start();
			return testbed;
		} catch (error) {
			// The logs are needed to find out why the start failed.
			await testbed.stop({keepsDirectory: true});
			throw error;
		}
	}

	readonly directory: string;
	readonly hostList: StandInHostList;
	readonly entries: EntryProcess[] = [];
	readonly groups: EndpointGroup[] = [];
	readonly #unlistedIds = new Set<string>();
	#configurationFile = '';
	#hostListUrl = '';

	private constructor(readonly options: TestbedOptions) {
		this.directory = options.directory ?? fs.mkdtempSync(path.join(os.tmpdir(), 'tanagerrail-testbed-'));
		this.hostList = new StandInHostList({lagMilliseconds: options.listLagMilliseconds});
	}

	get endpoints(): EndpointAddress[] {
		return this.groups.flatMap(({endpoints}) => endpoints);
	}

	/** Initial configuration of the entry hosts. */
	get configuration(): Configuration {
		const {services, configuration} = this.options;
		return {...defaultConfiguration, ...configuration, services: services.map(service => service.configuration)};
	}

	/**
	 * Gets an entry host by id.
	 *
	 * @param id - `entry-N`.
	 * @returns The entry host.
	 * @throws Error when the id is unknown.
	 */
	getEntry(id: string): EntryProcess {
		const entry = this.entries.find(candidate => candidate.id === id);
		if (!entry) {
			throw new Error(`the testbed has no entry host ${id}`);
		}

		return entry;
	}

	/**
	 * Removes a host from the host list or adds it again.
	 *
	 * @param id - Id of an entry host or endpoint.
	 * @param isListed - Whether the list contains it.
	 */
	setListed(id: string, isListed: boolean): void {
		this.#unlistedIds[isListed ? 'delete' : 'add'](id);
		this.publishHosts();
	}

	/** Writes all hosts to the host list; readers see the change after the lag of the list. */
	publishHosts(): void {
		this.hostList.update(this.#buildTargetGroups().filter(({labels}) => !this.#unlistedIds.has(labels.id!)));
	}

	/**
	 * Kills all processes and removes the temporary directory.
	 *
	 * @param options - Whether settings and logs are kept.
	 */
	async stop({keepsDirectory = false} = {}): Promise<void> {
		const processes = [...this.entries, ...this.groups].map(owner => owner.process);
		for (const child of processes) {
			child.kill();
		}

		await Promise.all(processes.map(async child => child.waitForExit()));
		this.hostList.stop();
		if (this.options.directory === undefined && !keepsDirectory) {
			fs.rmSync(this.directory, {recursive: true, force: true});
		}
	}

	async #start(): Promise<void> {
		const {services, entries, listLagMilliseconds} = this.options;
		this.#configurationFile = path.join(this.directory, 'configuration.json');
		fs.writeFileSync(this.#configurationFile, JSON.stringify(this.configuration));
		this.#hostListUrl = await this.hostList.start();
		for (const {configuration, endpoints, behaviour = {}} of services) {
			this.groups.push(await EndpointGroup.start({
				service: configuration.name,
				count: endpoints,
				behaviour: {slots: configuration.slotsPerEndpoint, ...behaviour},
				directory: this.directory,
			}));
		}

		const addresses = Array.from({length: entries}, () => chooseEntryAddresses());
		// The list must be complete before the first entry host reads it; otherwise allocators start with only part of the fleet.
		this.hostList.update(this.#buildTargetGroups(addresses));
		await waitMilliseconds(listLagMilliseconds + 10);
		for (const [i, entryAddresses] of addresses.entries()) {
			this.entries.push(this.#createEntry(i, entryAddresses));
		}

		await Promise.all(this.entries.map(async entry => entry.waitUntilReady()));
	}

	#createEntry(i: number, addresses: EntryAddresses): EntryProcess {
		return new EntryProcess({
			id: `entry-${i}`,
			failureDomain: this.#getFailureDomain(i),
			addresses,
			hostListUrl: this.#hostListUrl,
			configurationFile: this.#configurationFile,
			directory: this.directory,
			settings: this.options.settings,
		});
	}

	#getFailureDomain(i: number): string {
		return `fd-${i % this.options.failureDomains}`;
	}

	#buildTargetGroups(addresses: readonly EntryAddresses[] = this.entries.map(({options}) => options.addresses)): TargetGroup[] {
		const endpoints = this.endpoints.map(({id, address, service}, i): TargetGroup => ({
			targets: [address],
			labels: {
				role: 'endpoint', id, service, state: 'live', failure_domain: this.#getFailureDomain(i),
			},
		}));
		const entries = addresses.map(({callers, peers, admin}, i): TargetGroup => ({
			targets: [callers],
			labels: {
				role: 'entry', id: `entry-${i}`, state: 'live', failure_domain: this.#getFailureDomain(i), peer: peers, admin,
			},
		}));
		return [...endpoints, ...entries];
	}
}
