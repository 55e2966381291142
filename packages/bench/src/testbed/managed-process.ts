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
	/** Whether standard output goes to the log file too; {@link ManagedProcess.output} is then unavailable. */
	readonly logsOutput?: boolean;
};

const runningProcesses = new Set<ManagedProcess>();
let isCleanupInstalled = false;

/** A child process that is killed when this process exits, also after an error or a signal. */
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
		runningProcesses.add(this);
		this.#exited = new Promise(resolve => {
			this.#child.once('exit', () => {
				runningProcesses.delete(this);
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

	/** Exit code; `undefined` while the process runs or when a signal ended it. */
	get exitCode(): number | undefined {
		return this.#child.exitCode ?? undefined;
	}

	/** Chunks of standard output as text. */
	get output(): AsyncIterable<string> {
		return this.#child.stdout!.setEncoding('utf8') as AsyncIterable<string>;
	}

	/** Kills the process with SIGKILL. */
	kill(): void {
		this.#sendSignal('SIGKILL');
	}

	/** Suspends the process with SIGSTOP until it is resumed. */
	freeze(): void {
		this.#sendSignal('SIGSTOP');
	}

	/** Resumes a suspended process. */
	resume(): void {
		this.#sendSignal('SIGCONT');
	}

	/** Sends SIGHUP, on which the process reloads its settings file. */
	requestReload(): void {
		this.#sendSignal('SIGHUP');
	}

	/** Sends SIGTERM, on which the process shuts down gracefully. */
	requestStop(): void {
		this.#sendSignal('SIGTERM');
	}

	/** Waits until the process has exited. */
	async waitForExit(): Promise<void> {
		await this.#exited;
	}

	/**
	 * Reads processor time and memory of the process.
	 *
	 * @returns Usage so far; `undefined` when the process has exited.
	 */
	readUsage(): ProcessUsage | undefined {
		return this.isRunning ? readProcessUsage(this.pid) : undefined;
	}

	#sendSignal(signal: NodeJS.Signals): void {
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
	process.on('exit', killRunningProcesses);
	for (const [signal, number] of [['SIGINT', 2], ['SIGTERM', 15], ['SIGHUP', 1]] as const) {
		process.once(signal, () => {
			process.exit(128 + number);
		});
	}
}

function killRunningProcesses(): void {
	for (const child of runningProcesses) {
		child.kill();
	}
}
