import {request} from 'undici';
import type {EntryProcess} from '../testbed/index.js';

/** Options of {@link EntryBalancer}. */
export type EntryBalancerOptions = {
	readonly entries: readonly EntryProcess[];
	/** Time between two readiness checks of an entry, in milliseconds. */
	readonly checkMilliseconds: number;
	/** Time allowed for a check, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Defaults of {@link EntryBalancerOptions}. */
export const defaultEntryBalancerOptions = {checkMilliseconds: 50, timeoutMilliseconds: 250};

/** Takes the place of the platform's balancer: sends callers in turn to the entries that report ready. */
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
	 * Chooses the next entry.
	 *
	 * @param except - Id of an entry that is not wanted, unless it is the only one.
	 * @returns An entry that reported ready at its last check; any entry when none did.
	 */
	choose(except?: string): EntryProcess {
		const ready = this.#options.entries.filter(entry => this.#ready.has(entry));
		const wanted = ready.filter(({id}) => id !== except);
		const choice = [wanted, ready, this.#options.entries].find(({length}) => length > 0)!;
		this.#next += 1;
		return choice[this.#next % choice.length]!;
	}

	/** Ends the checks. */
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
			// An entry that does not respond is not ready.
		}

		this.#ready[isReady ? 'add' : 'delete'](entry);
	}
}
