import fs from 'node:fs';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {chooseLoopbackHost, TcpRelay} from '@tanagerrail/stand-ins';
import {stringify} from 'yaml';
import {edgeProgram, ManagedProcess, waitUntil} from '../testbed/index.js';
import {DisturbanceLog} from './disturbance-log.js';
import {soakBounds} from './soak-bounds.js';

/** Time between two questions whether a host is ready, in milliseconds. */
const readinessMilliseconds = 200;

/** Options of {@link SoakHost}. */
export type SoakHostOptions = {
	readonly id: string;
	readonly failureDomain: string;
	readonly cores: number;
	/** Directory of the settings file and the log. */
	readonly directory: string;
	/** `ip:port` of the store. */
	readonly storeAddress: string;
	/** Script in place of the product's; tests use it to switch a mechanism off. */
	readonly script?: string;
};

/** One `tanagerrail edge` process with a relay between it and the store. */
export class SoakHost {
	readonly id: string;
	readonly storeRelay: TcpRelay;
	/** Faults of this host, planned stops left out. */
	readonly faults = new DisturbanceLog();
	/** Times from a signal to stop to the next start. */
	readonly stops = new DisturbanceLog();
	/** Whether the last question for its readiness was answered with 200. */
	isReady = false;
	readonly #options: SoakHostOptions;
	readonly #loopback = chooseLoopbackHost();
	readonly #ended = new AbortController();
	#process: ManagedProcess | undefined;
	#seeds: readonly string[] = [];
	#storeAddress = '';
	#starts = 0;
	#expectsExit = false;
	#unexpectedExits = 0;

	constructor(options: SoakHostOptions) {
		this.id = options.id;
		this.#options = options;
		this.storeRelay = new TcpRelay(options.storeAddress);
	}

	/** `ip:port` for callers. */
	get address(): string {
		return `${this.#loopback}:8080`;
	}

	/** `ip:port` for other hosts. */
	get peerAddress(): string {
		return `${this.#loopback}:8083`;
	}

	get logFile(): string {
		return path.join(this.#options.directory, `${this.id}.log`);
	}

	/** Number of starts of the process. */
	get incarnation(): number {
		return this.#starts;
	}

	/** Ends of the process that nobody asked for. */
	get unexpectedExits(): number {
		return this.#unexpectedExits;
	}

	get process(): ManagedProcess {
		return this.#process!;
	}

	/**
	 * Starts the process for the first time.
	 *
	 * @param seeds - Peer addresses of hosts that know others.
	 */
	async start(seeds: readonly string[]): Promise<void> {
		this.#seeds = seeds;
		this.#storeAddress = await this.storeRelay.start();
		this.restart();
		void this.#watchReadiness();
	}

	/** Starts the process, unless it runs. */
	restart(): void {
		if (this.#process?.isRunning) {
			return;
		}

		this.writeSettings();
		this.#starts += 1;
		this.#expectsExit = false;
		const {id, script = edgeProgram} = this.#options;
		const child = new ManagedProcess({
			name: id, args: [script, 'edge', '--settings', this.#settingsFile], logFile: this.logFile, logsOutput: true,
		});
		this.#process = child;
		void this.#watchExit(child);
	}

	/** Ends the process at once. */
	async kill(): Promise<void> {
		this.#expectsExit = true;
		this.process.resume();
		this.process.kill();
		await this.process.waitExit();
	}

	/** Tells the process that its settings file has changed. Node.js itself ends on that signal until its first script runs. */
	requestReload(): void {
		if (this.isReady) {
			this.process.requestReload();
		}
	}

	/** Asks the process to stop, and waits for its end, which is forced when the time for it is over. */
	async stopGracefully(): Promise<void> {
		this.#expectsExit = true;
		this.process.requestStop();
		const timer = setTimeout(() => {
			this.process.kill();
		}, soakBounds.shutdownSeconds * 1000);
		await this.process.waitExit();
		clearTimeout(timer);
	}

	/** Ends everything of this host. */
	async close(): Promise<void> {
		this.#ended.abort();
		await this.kill();
		this.storeRelay.stop();
	}

	/**
	 * Writes the settings file.
	 *
	 * @param text - What it holds instead of valid settings.
	 * @param linesPerSecond - Log lines a second, a setting that may change at any time.
	 */
	writeSettings(text?: string, linesPerSecond = 500): void {
		const {id, failureDomain, cores} = this.#options;
		fs.writeFileSync(this.#settingsFile, text ?? stringify({
			host: {
				id, failureDomain, cores, isFirstStart: this.#starts === 0,
			},
			seeds: this.#seeds,
			listen: {
				callers: this.address, readiness: this.#readinessAddress, metrics: `${this.#loopback}:8082`, peers: this.peerAddress,
			},
			readinessPath: '/ready',
			store: {address: this.#storeAddress},
			bounds: soakBounds,
			log: {linesPerSecond},
		}));
	}

	/**
	 * Tells whether promises with a time bound hold for this host in a span.
	 *
	 * @param from - Monotonic time in milliseconds.
	 * @param until - Monotonic time in milliseconds.
	 * @returns Whether it was neither disturbed nor stopped, nor shortly before.
	 */
	isCalm(from: number, until: number): boolean {
		return this.faults.isCalm(from, until) && this.stops.isCalm(from, until);
	}

	/** Waits until the host says that it is ready. */
	async waitReady(): Promise<void> {
		await waitUntil(() => this.isReady, {name: `readiness of ${this.id}`});
	}

	get #readinessAddress(): string {
		return `${this.#loopback}:8081`;
	}

	get #settingsFile(): string {
		return path.join(this.#options.directory, `${this.id}.yaml`);
	}

	async #watchExit(child: ManagedProcess): Promise<void> {
		await child.waitExit();
		if (!this.#expectsExit && this.#process === child) {
			this.#unexpectedExits += 1;
		}
	}

	async #watchReadiness(): Promise<void> {
		while (!this.#ended.signal.aborted) {
			this.isReady = await checkReady(this.#readinessAddress);
			await wait(readinessMilliseconds);
		}
	}
}

async function checkReady(address: string): Promise<boolean> {
	try {
		const {status} = await fetch(`http://${address}/ready`, {signal: AbortSignal.timeout(readinessMilliseconds)});
		return status === 200;
	} catch {
		return false;
	}
}
