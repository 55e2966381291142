import fs from 'node:fs';
import path from 'node:path';
import {request} from 'undici';
import {stringify} from 'yaml';
import type {EntryAddresses} from './choose-entry-addresses.js';
import {ManagedProcess} from './managed-process.js';
import {waitUntil} from './wait-until.js';

const mainScript = path.resolve(import.meta.dirname, '../../../../cli/dist/src/main.js');

/** Shared key for peer and operator connections in every testbed. */
export const testbedKey = 'testbed-key-0123456789';

/** Options of {@link EntryProcess}. */
export type EntryProcessOptions = {
	readonly id: string;
	readonly failureDomain: string;
	readonly addresses: EntryAddresses;
	readonly hostListUrl: string;
	readonly configurationFile: string;
	/** Directory of the settings and log files. */
	readonly directory: string;
	/** Sections of the settings file that replace the generated ones. */
	readonly settings: Readonly<Record<string, unknown>>;
	/** Script that replaces the program of the entry host; tests use it to disable a mechanism. */
	readonly script?: string;
};

/** A `tanagerrail entry` process. */
export class EntryProcess {
	#process: ManagedProcess;

	constructor(readonly options: EntryProcessOptions) {
		this.#process = spawnEntry(options);
	}

	get id(): string {
		return this.options.id;
	}

	get process(): ManagedProcess {
		return this.#process;
	}

	/** `ip:port` of the listener for callers. */
	get address(): string {
		return this.options.addresses.callers;
	}

	/** `ip:port` of the listener for peers. */
	get peerAddress(): string {
		return this.options.addresses.peers;
	}

	/** `ip:port` of the listener for operators. */
	get adminAddress(): string {
		return this.options.addresses.admin;
	}

	/** Starts the process again with the same id and addresses. Does nothing while the process runs. */
	restart(): void {
		if (!this.#process.isRunning) {
			this.#process = spawnEntry(this.options);
		}
	}

	/** Waits until the readiness check of the process succeeds. */
	async waitUntilReady(): Promise<void> {
		await waitUntil(async () => this.#checkReady(), {name: `readiness of ${this.id} (log: ${this.#process.logFile})`});
	}

	async #checkReady(): Promise<boolean> {
		const {statusCode, body} = await request(`http://${this.adminAddress}/-/ready`, {signal: AbortSignal.timeout(1000)});
		await body.dump();
		return statusCode === 200;
	}
}

function spawnEntry(options: EntryProcessOptions): ManagedProcess {
	const {id, directory, script = mainScript} = options;
	const settingsFile = path.join(directory, `${id}.yaml`);
	fs.writeFileSync(settingsFile, stringify(buildSettings(options)));
	return new ManagedProcess({
		name: id, args: [script, 'entry', '--settings', settingsFile], logFile: path.join(directory, `${id}.log`),
	});
}

function buildSettings({id, failureDomain, addresses, hostListUrl, configurationFile, settings}: EntryProcessOptions): Record<string, unknown> {
	const {platform, ...others} = settings;
	return {
		host: {id, failureDomain},
		listen: {callers: parseListen(addresses.callers), peers: parseListen(addresses.peers), admin: parseListen(addresses.admin)},
		keys: {peers: [testbedKey], admin: [testbedKey]},
		platform: {hostList: {url: hostListUrl}, ...(platform as Record<string, unknown> | undefined)},
		shutdown: {lameDuckMilliseconds: 100, shutdownMilliseconds: 60_000},
		initialConfigurationFile: configurationFile,
		...others,
	};
}

function parseListen(text: string): {address: string; port: number} {
	const [address = '', port] = text.split(':');
	return {address, port: Number(port)};
}
