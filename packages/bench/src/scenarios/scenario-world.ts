import {Caller} from './caller.js';
import type {Fleet} from './fleet.js';
import type {SentRequest} from './sent-request.js';
import type {ScenarioHeader} from './scenario-schema.js';

/** State that the steps of a running scenario share. */
export class ScenarioWorld {
	readonly caller = new Caller();
	/** Promises of requests and commands that are still running. */
	readonly pending = new Set<Promise<unknown>>();
	/** Times of `mark` steps in milliseconds since the epoch. */
	readonly marks = new Map<string, number>();

	/** Exit codes and output of finished `apply` steps. */
	readonly applied = new Map<string, {readonly exitCode: number; readonly output: string}>();

	constructor(readonly scenario: ScenarioHeader, readonly fleet: Fleet) {}

	/**
	 * Lists the sent requests of a group.
	 *
	 * @param group - Value of `as` in the `send` step; `undefined` for all requests.
	 * @returns The requests with their responses so far.
	 */
	listSent(group?: string): SentRequest[] {
		return this.caller.sent.filter(({plan}) => group === undefined || plan.group === group);
	}

	/**
	 * Registers an operation that continues in the background; `wait-responses` waits for it.
	 *
	 * @param request - Promise of the operation.
	 */
	track(request: Promise<unknown>): void {
		this.pending.add(request);
		const removeWhenSettled = async () => {
			await request;
			this.pending.delete(request);
		};

		void removeWhenSettled();
	}
}
