import {Caller} from './caller.js';
import type {Fleet} from './fleet.js';
import type {SentRequest} from './sent-request.js';
import type {ScenarioHead} from './scenario-schema.js';

/** What the steps of a running scenario work with. */
export class ScenarioWorld {
	readonly caller = new Caller();
	/** Ends of the requests that are on their way. */
	readonly pending = new Set<Promise<unknown>>();
	/** Times of `mark` steps in milliseconds since the epoch. */
	readonly marks = new Map<string, number>();

	/** Ends of `apply` steps. */
	readonly applied = new Map<string, {readonly exitCode: number; readonly output: string}>();

	constructor(readonly scenario: ScenarioHead, readonly fleet: Fleet) {}

	/**
	 * Lists the requests of a group.
	 *
	 * @param group - Value of `as` of the `send` step; nothing for all requests.
	 * @returns What was sent.
	 */
	listSent(group?: string): SentRequest[] {
		return this.caller.sent.filter(({plan}) => group === undefined || plan.group === group);
	}

	/**
	 * Lets a request go on while the scenario continues.
	 *
	 * @param request - Its end.
	 */
	track(request: Promise<unknown>): void {
		this.pending.add(request);
		const forget = async () => {
			await request;
			this.pending.delete(request);
		};

		void forget();
	}
}
