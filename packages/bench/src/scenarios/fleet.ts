import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import type {Configuration} from '@tanagerrail/configuration';
import {
	StandInHostList, StandInObjectStore, StandInTable, type PlatformUrls, type TargetGroup,
} from '@tanagerrail/stand-ins';
import {chooseEntryAddresses, EntryProcess, type EntryAddresses} from '../testbed/index.js';
import {FleetEndpoint} from './fleet-endpoint.js';
import {defaultFleetConfiguration, defaultFleetOptions, type FleetOptions} from './fleet-options.js';
import {RelayMesh} from './relay-mesh.js';

const maxLogLinesInError = 5;

/**
 * Entry processes with endpoint and platform stand-ins, which run in this process. Each entry process reads its own host
 * list, because the addresses in it are those of the relays between this entry process and all others.
 */
export class Fleet {
	/**
	 * Starts all processes and stand-ins and waits until each entry host is ready.
	 *
	 * @param options - Services and numbers of processes.
	 * @returns The running fleet. When the start fails, everything is stopped and removed.
	 */
	static async start(options: Partial<FleetOptions> & Pick<FleetOptions, 'services'>): Promise<Fleet> {
		const fleet = new Fleet({...defaultFleetOptions, ...options});
		try {
			await fleet.#start();
			return fleet;
		} catch (error) {
			const lastLines = [...fleet.entries.keys()].map(id => JSON.stringify(fleet.readLog(id).slice(-maxLogLinesInError)));
			await fleet.stop();
			throw new Error(`the fleet did not start; last log lines: ${lastLines.join(' ')}`, {cause: error});
		}
	}

	readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tanagerrail-fleet-'));
	readonly entries = new Map<string, EntryProcess>();
	readonly endpoints = new Map<string, FleetEndpoint>();
	readonly mesh = new RelayMesh();
	readonly table = new StandInTable();
	readonly objects = new StandInObjectStore();
	readonly #hostLists = new Map<string, StandInHostList>();
	readonly #addresses = new Map<string, EntryAddresses>();
	readonly #leavingEntries = new Set<string>();

	private constructor(readonly options: FleetOptions) {}

	/** Initial configuration of the entry hosts. */
	get configuration(): Configuration {
		const {services, configuration} = this.options;
		return {...defaultFleetConfiguration, ...configuration, services: services.map(service => service.configuration)};
	}

	/**
	 * Sets the state of a process in all host lists.
	 *
	 * @param id - Id of an entry host or endpoint.
	 * @param isLeaving - Whether it is listed as leaving.
	 */
	setLeaving(id: string, isLeaving: boolean): void {
		const endpoint = this.endpoints.get(id);
		if (endpoint) {
			endpoint.isLeaving = isLeaving;
		} else {
			this.#leavingEntries[isLeaving ? 'add' : 'delete'](id);
		}

		this.#publishHosts();
	}

	/**
	 * Makes the host lists unavailable or available again.
	 *
	 * @param isDown - Whether reads fail.
	 */
	setListDown(isDown: boolean): void {
		for (const list of this.#hostLists.values()) {
			list.setDown(isDown);
		}
	}

	/**
	 * Reads the log lines of an entry host.
	 *
	 * @param id - Id of the entry host.
	 * @returns Parsed lines of all its runs; lines that are not JSON are returned as `{event: 'unparsed', text}`.
	 */
	readLog(id: string): Array<Readonly<Record<string, unknown>>> {
		const file = path.join(this.directory, `${id}.log`);
		const text = fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : '';
		return text.split('\n').filter(Boolean).map(line => parseLine(line));
	}

	/**
	 * Copies the logs of the entry hosts to a directory that {@link Fleet.stop} does not remove.
	 *
	 * @param directory - Target directory; it is created if necessary.
	 */
	saveLogs(directory: string): void {
		fs.mkdirSync(directory, {recursive: true});
		for (const file of fs.readdirSync(this.directory).filter(name => name.endsWith('.log'))) {
			fs.copyFileSync(path.join(this.directory, file), path.join(directory, file));
		}
	}

	/** Kills all processes, stops all stand-ins and removes the directory. */
	async stop(): Promise<void> {
		const processes = [...this.entries.values()].map(entry => entry.process);
		for (const child of processes) {
			child.kill();
		}

		await Promise.all(processes.map(async child => child.waitForExit()));
		for (const endpoint of this.endpoints.values()) {
			endpoint.standIn.stop();
		}

		for (const list of this.#hostLists.values()) {
			list.stop();
		}

		if (this.options.hasPlatform) {
			this.table.stop();
			this.objects.stop();
		}

		this.mesh.stop();
		fs.rmSync(this.directory, {recursive: true, force: true});
	}

	async #start(): Promise<void> {
		const {entries, listLagMilliseconds, hasPlatform} = this.options;
		const configurationFile = path.join(this.directory, 'configuration.json');
		fs.writeFileSync(configurationFile, JSON.stringify(this.configuration));
		const platform: Record<string, PlatformUrls> = hasPlatform
			? {table: await this.table.start(), objects: await this.objects.start()}
			: {};
		await this.#startEndpoints();
		for (let i = 0; i < entries; i++) {
			this.#addresses.set(`entry-${i}`, chooseEntryAddresses());
		}

		await Promise.all([...this.#addresses.keys()].map(async id => this.#addRelays(id, platform)));
		const urls = new Map<string, string>();
		for (const id of this.#addresses.keys()) {
			const list = new StandInHostList({lagMilliseconds: listLagMilliseconds});
			this.#hostLists.set(id, list);
			urls.set(id, await list.start());
		}

		// The list must be complete before the first entry host reads it; otherwise allocators start with only part of the fleet.
		this.#publishHosts();
		await waitMilliseconds(listLagMilliseconds + 10);
		for (const [id, addresses] of this.#addresses) {
			this.entries.set(id, new EntryProcess({
				id,
				failureDomain: this.#getFailureDomain(Number(id.split('-')[1])),
				addresses,
				hostListUrl: urls.get(id)!,
				configurationFile,
				directory: this.directory,
				settings: this.#buildSettings(id, platform),
				script: this.options.entryScript,
			}));
		}

		await Promise.all([...this.entries.values()].map(async entry => entry.waitUntilReady()));
	}

	async #startEndpoints(): Promise<void> {
		for (const {configuration, endpoints, behaviour = {}} of this.options.services) {
			for (let i = 0; i < endpoints; i++) {
				const endpoint = new FleetEndpoint({
					id: `${configuration.name}-${i}`,
					service: configuration.name,
					failureDomain: this.#getFailureDomain(i),
					behaviour: {slots: configuration.slotsPerEndpoint, ...behaviour},
				});
				await endpoint.start();
				this.endpoints.set(endpoint.id, endpoint);
			}
		}
	}

	async #addRelays(id: string, platform: Readonly<Record<string, {readonly url: string}>>): Promise<void> {
		if (!this.options.hasRelays) {
			return;
		}

		const targets: Array<[string, string]> = [
			...[...this.endpoints.values()].map((endpoint): [string, string] => [endpoint.id, endpoint.address]),
			...[...this.#addresses].filter(([peer]) => peer !== id).map(([peer, {peers}]): [string, string] => [peer, peers]),
			...Object.entries(platform).map(([name, {url}]): [string, string] => [name, new URL(url).host]),
		];
		await Promise.all(targets.map(async ([to, address]) => this.mesh.add(id, to, address)));
	}

	#buildSettings(id: string, platform: Readonly<Record<string, {readonly url: string}>>): Record<string, unknown> {
		const addresses = Object.entries(platform).map(([name, {url}]) => [name, {url: `http://${this.mesh.findAddress(id, name) ?? new URL(url).host}`}]);
		return {...this.options.settings, platform: Object.fromEntries(addresses)};
	}

	#publishHosts(): void {
		for (const [id, list] of this.#hostLists) {
			list.update(this.#buildTargetGroups(id));
		}
	}

	#buildTargetGroups(entryId: string): TargetGroup[] {
		const endpoints = [...this.endpoints.values()].map(({id, address, isLeaving, options}): TargetGroup => ({
			targets: [this.mesh.findAddress(entryId, id) ?? address],
			labels: {
				role: 'endpoint', id, service: options.service, state: isLeaving ? 'leaving' : 'live', failure_domain: options.failureDomain,
			},
		}));
		const entries = [...this.#addresses].map(([id, {callers, peers, admin}], i): TargetGroup => ({
			targets: [callers],
			labels: {
				role: 'entry',
				id,
				state: this.#leavingEntries.has(id) ? 'leaving' : 'live',
				failure_domain: this.#getFailureDomain(i),
				peer: this.mesh.findAddress(entryId, id) ?? peers,
				admin,
			},
		}));
		return [...endpoints, ...entries];
	}

	#getFailureDomain(i: number): string {
		return `fd-${i % this.options.failureDomains}`;
	}
}

function parseLine(line: string): Readonly<Record<string, unknown>> {
	try {
		return JSON.parse(line) as Readonly<Record<string, unknown>>;
	} catch {
		return {event: 'unparsed', text: line};
	}
}
