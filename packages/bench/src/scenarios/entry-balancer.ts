import {request} from 'undici';
import type {EntryProcess} from '../testbed/index.js';

/** Options of {@link EntryBalancer}. */
export type EntryBalancerOptions = {
	readonly entries: readonly EntryProcess[];
	/** Interval between readiness checks of an entry host, in milliseconds. */
	readonly checkMilliseconds: number;
	/** Timeout of a readiness check, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Defaults of {@link EntryBalancerOptions}. */
export const defaultEntryBalancerOptions = {checkMilliseconds: 50, timeoutMilliseconds: 250};

/** Stand-in for the load balancer of the platform: round-robin over the entry hosts whose readiness check succeeds. */
export class EntryBalancer {
	readonly #options: EntryBalancerOptions;
	readonly #ready = new Set<EntryProcess>();
	readonly #timer: NodeJS.Timeout;
	#next = 0;

	constructor(options: Partial<EntryBalancerOptions> & Pick<EntryBalancerOptions, 'entries'>) {
		this.#options = {...defaultEntryBalancerOptions, ...options};
		for (const entry of options.entries) {
			this.#ready.add(entry);
		}

		this.#timer = setInterval(() => {
			for (const entry of options.entries) {
				void this.#check(entry);
			}
		}, this.#options.checkMilliseconds);
	}

	/**
	 * Chooses the next entry host.
	 *
	 * @param except - Id of an entry host to avoid unless it is the only candidate.
	 * @returns An entry host that was ready at its last check, or any entry host when none was.
	 */
	choose(except?: string): EntryProcess {
		const ready = this.#options.entries.filter(entry => this.#ready.has(entry));
		const preferred = ready.filter(({id}) => id !== except);
		const candidates = [preferred, ready, this.#options.entries].find(({length}) => length > 0)!;
		this.#next += 1;
		return candidates[this.#next % candidates.length]!;
	}

	/** Stops the readiness checks. */
	stop(): void {
		clearInterval(this.#timer);
	}

	async #check(entry: EntryProcess): Promise<void> {
		let isReady = false;
		try {
			const {statusCode, body} = await request(`http://${entry.adminAddress}/-/ready`, {signal: AbortSignal.timeout(this.#options.timeoutMilliseconds)});
			await body.dump();
			isReady = statusCode === 200;
		} catch {
			// An entry host that does not respond is not ready.
		}

		this.#ready[isReady ? 'add' : 'delete'](entry);
	}
}
