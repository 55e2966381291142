import fs from 'node:fs';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {chooseLoopbackAddress, TcpRelay} from '@tanagerrail/stand-ins';
import {stringify} from 'yaml';
import {edgeProgram, ManagedProcess, waitUntil} from '../testbed/index.js';
import {DisturbanceLog} from './disturbance-log.js';
import {soakBounds} from './soak-bounds.js';

/** Interval and timeout of the readiness checks. */
const readinessPollMilliseconds = 200;

/** Options of {@link SoakHost}. */
export type SoakHostOptions = {
	readonly id: string;
	readonly failureDomain: string;
	readonly cores: number;
	/** Directory of the settings file and the log. */
	readonly directory: string;
	/** `ip:port` of the store. */
	readonly storeAddress: string;
	/** Script to run instead of the product's; tests use it to disable a mechanism. */
	readonly script?: string;
};

/** One `tanagerrail edge` process with a relay between it and the store. */
export class SoakHost {
	readonly id: string;
	readonly storeRelay: TcpRelay;
	/** Periods of faults of this host, without graceful restarts. */
	readonly faults = new DisturbanceLog();
	/** Periods of graceful restarts, from the stop signal to the next start. */
	readonly stops = new DisturbanceLog();
	/** Whether the last readiness check returned status 200. */
	isReady = false;
	readonly #options: SoakHostOptions;
	readonly #loopback = chooseLoopbackAddress();
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

	/** `ip:port` that accepts requests of callers. */
	get address(): string {
		return `${this.#loopback}:8080`;
	}

	/** `ip:port` that accepts connections of other hosts. */
	get peerAddress(): string {
		return `${this.#loopback}:8083`;
	}

	get logFile(): string {
		return path.join(this.#options.directory, `${this.id}.log`);
	}

	/** Number of times that the process was started. */
	get incarnation(): number {
		return this.#starts;
	}

	/** Number of process exits without a previous stop or kill. */
	get unexpectedExits(): number {
		return this.#unexpectedExits;
	}

	get process(): ManagedProcess {
		return this.#process!;
	}

	/**
	 * Starts the process for the first time.
	 *
	 * @param seeds - Peer addresses that the host contacts first to discover the other hosts.
	 */
	async start(seeds: readonly string[]): Promise<void> {
		this.#seeds = seeds;
		this.#storeAddress = await this.storeRelay.start();
		this.restart();
		void this.#watchReadiness();
	}

	/** Starts the process unless it is running. */
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

	/** Kills the process, even if it is frozen, and waits for its exit. */
	async kill(): Promise<void> {
		this.#expectsExit = true;
		this.process.resume();
		this.process.kill();
		await this.process.waitForExit();
	}

	/**
	 * Sends the signal to reload the settings, but only to a host that is ready: until the script has installed its handler, Node.js
	 * exits on that signal.
	 */
	requestReload(): void {
		if (this.isReady) {
			this.process.requestReload();
		}
	}

	/** Sends the stop signal and waits for the exit; the process is killed after the shutdown time. */
	async stopGracefully(): Promise<void> {
		this.#expectsExit = true;
		this.process.requestStop();
		const timer = setTimeout(() => {
			this.process.kill();
		}, soakBounds.shutdownSeconds * 1000);
		await this.process.waitForExit();
		clearTimeout(timer);
	}

	/** Stops the readiness checks, the process and the relay. */
	async close(): Promise<void> {
		this.#ended.abort();
		await this.kill();
		this.storeRelay.stop();
	}

	/**
	 * Writes the settings file.
	 *
	 * @param text - Content to write instead of valid settings.
	 * @param linesPerSecond - Maximum log lines per second, a setting that can be reloaded.
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
	 * Checks whether promises with a time bound apply to this host in a period.
	 *
	 * @param from - Start of the period, as monotonic time in milliseconds.
	 * @param until - End of the period, as monotonic time in milliseconds.
	 * @returns Whether there was no fault or restart in the period nor in the recovery time before it.
	 */
	isUndisturbed(from: number, until: number): boolean {
		return this.faults.isUndisturbed(from, until) && this.stops.isUndisturbed(from, until);
	}

	/** Waits until the host is ready. */
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
		await child.waitForExit();
		if (!this.#expectsExit && this.#process === child) {
			this.#unexpectedExits += 1;
		}
	}

	async #watchReadiness(): Promise<void> {
		while (!this.#ended.signal.aborted) {
			this.isReady = await checkReady(this.#readinessAddress);
			await wait(readinessPollMilliseconds);
		}
	}
}

async function checkReady(address: string): Promise<boolean> {
	try {
		const {status} = await fetch(`http://${address}/ready`, {signal: AbortSignal.timeout(readinessPollMilliseconds)});
		return status === 200;
	} catch {
		return false;
	}
}
