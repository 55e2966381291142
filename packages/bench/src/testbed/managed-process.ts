import {spawn, type ChildProcess} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';
import {readProcessUsage, type ProcessUsage} from './read-process-usage.js';

/** Options of {@link ManagedProcess}. */
export type ManagedProcessOptions = {
	readonly name: string;
	/** Script and arguments for Node.js. */
	readonly args: readonly string[];
	/** File that receives standard error. */
	readonly logFile: string;
	/** Whether the file receives standard output too; {@link ManagedProcess.output} is empty then. */
	readonly logsOutput?: boolean;
};

const running = new Set<ManagedProcess>();
let isCleanupInstalled = false;

/** A child process that ends together with this process, also after a failure or a signal. */
export class ManagedProcess {
	readonly name: string;
	readonly logFile: string;
	readonly #child: ChildProcess;
	readonly #exited: Promise<void>;

	constructor({name, args, logFile, logsOutput = false}: ManagedProcessOptions) {
		registerCleanup();
		this.name = name;
		this.logFile = logFile;
		const log = fs.openSync(logFile, 'a');
		this.#child = spawn(process.execPath, [...args], {stdio: ['pipe', logsOutput ? log : 'pipe', log]});
		fs.closeSync(log);
		running.add(this);
		this.#exited = new Promise(resolve => {
			this.#child.once('exit', () => {
				running.delete(this);
				resolve();
			});
		});
	}

	get pid(): number {
		return this.#child.pid ?? 0;
	}

	get isRunning(): boolean {
		return this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** Exit code; nothing while the process runs or when a signal ended it. */
	get exitCode(): number | undefined {
		return this.#child.exitCode ?? undefined;
	}

	/** Standard output as text, in pieces. */
	get output(): AsyncIterable<string> {
		return this.#child.stdout!.setEncoding('utf8') as AsyncIterable<string>;
	}

	/** Ends the process at once. */
	kill(): void {
		this.#signal('SIGKILL');
	}

	/** Stops the process from running until it is resumed. */
	freeze(): void {
		this.#signal('SIGSTOP');
	}

	/** Lets a frozen process run again. */
	resume(): void {
		this.#signal('SIGCONT');
	}

	/** Tells the process that its settings file has changed. */
	requestReload(): void {
		this.#signal('SIGHUP');
	}

	/** Asks the process to shut down gracefully. */
	requestStop(): void {
		this.#signal('SIGTERM');
	}

	/** Waits until the process has ended. */
	async waitExit(): Promise<void> {
		await this.#exited;
	}

	/**
	 * Reads processor time and memory of the process.
	 *
	 * @returns Usage so far; nothing when the process has ended.
	 */
	readUsage(): ProcessUsage | undefined {
		return this.isRunning ? readProcessUsage(this.pid) : undefined;
	}

	#signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this.#child.kill(signal);
		}
	}
}

function registerCleanup(): void {
	if (isCleanupInstalled) {
		return;
	}

	isCleanupInstalled = true;
	process.on('exit', killAll);
	for (const [signal, number] of [['SIGINT', 2], ['SIGTERM', 15], ['SIGHUP', 1]] as const) {
		process.once(signal, () => {
			process.exit(128 + number);
		});
	}
}

function killAll(): void {
	for (const child of running) {
		child.kill();
	}
}
