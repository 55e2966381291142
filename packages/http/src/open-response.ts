import {err, ok, type Result} from 'neverthrow';
import {createFailure, Outcome, type Failure} from '@tanagerrail/results';
import {AttemptOutcome, notRunOutcomes, type SlotGrant} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {acquireSlot} from './acquire-slot.js';
import type {CallerRequest} from './caller-request.js';
import type {EndpointResponse} from './endpoint-attempt.js';
import type {HeaderFields} from './forwarded-headers.js';
import type {RequestContext} from './request-context.js';
import {firstServerError, sendGranted} from './send-granted.js';

const logger = createLogger('http');

/** A response whose body has not been read yet. */
export type OpenedResponse = {readonly response: EndpointResponse; readonly endpointId: string};

/** Options of {@link ResponseOpener}. */
export type ResponseOpenerOptions = {
	readonly request: CallerRequest;
	readonly context: RequestContext;
	/** Headers that replace those of the caller's request; none by default. */
	readonly headers?: HeaderFields;
	/** Endpoints that are not asked; none by default. */
	readonly excluded?: readonly string[];
};

/** How an attempt ended: with a response, good or bad, or with a failure. */
type AttemptEnd = {
	readonly endpointId: string | undefined;
	readonly isRetryable: boolean;
	readonly result: Result<OpenedResponse, Failure>;
};

/** One attempt in progress, with the timers of the second attempt that may start beside it. */
type RunningAttempt = {readonly controller: AbortController; readonly timers: Set<NodeJS.Timeout>};

/** What woke up the wait for attempts. */
type Wake =
	| {readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly end: AttemptEnd}
	| {readonly kind: 'hedge'}
	| {readonly kind: 'silence'; readonly reserveShare: number};

/** Part of the retry budget that stays for attempts that have failed when a hedge starts or an attempt first looks silent. */
const initialReserveShare = 0.5;

/**
 * Opens a response to an idempotent request: failed attempts are repeated on other endpoints, and a second attempt
 * starts beside one that takes unusually long, as far as the deadline and the budgets allow.
 */
export class ResponseOpener {
	readonly #request: CallerRequest;
	readonly #context: RequestContext;
	readonly #headers: HeaderFields;
	readonly #excluded: string[];
	readonly #running = new Set<RunningAttempt>();
	#mayHaveRun = false;
	#wake: ((wake: Wake) => void) | undefined;
	#pendingWakes: Wake[] = [];

	constructor({request, context, headers = {}, excluded = []}: ResponseOpenerOptions) {
		this.#request = request;
		this.#context = context;
		this.#headers = headers;
		this.#excluded = [...excluded];
	}

	/**
	 * Opens the response.
	 *
	 * @returns The first good response, else the last bad one or the failure of the last attempt.
	 */
	async open(): Promise<Result<OpenedResponse, Failure>> {
		this.#startAttempt(false);
		for (;;) {
			const wake = await this.#waitWake();
			if (wake.kind !== 'ended') {
				this.#startSecond(wake);
				continue;
			}

			const {attempt, end} = wake;
			this.#running.delete(attempt);
			const isGood = end.result.isOk() && !end.isRetryable;
			if (!isGood && this.#running.size > 0) {
				dropBody(end);
				continue;
			}

			if (!isGood && this.#canRetry(end)) {
				dropBody(end);
				logger.log(LogLevel.debug, 'endpoint-retried', {request: this.#request.id, endpoint: end.endpointId});
				this.#startAttempt(false);
				continue;
			}

			this.#cancelOthers();
			// What the last attempt says about itself does not undo an earlier one that may have run.
			return end.result.mapErr(failure => this.#mayHaveRun ? {...failure, outcome: Outcome.unknown} : failure);
		}
	}

	#canRetry({isRetryable}: AttemptEnd): boolean {
		const {deadline, match: {service, workClass}, signal} = this.#request;
		return isRetryable && !signal.aborted && this.#context.clock() < deadline - workClass.usualMilliseconds
			&& this.#context.getRetryBudget(service.name).take();
	}

	#startSecond(wake: Exclude<Wake, {kind: 'ended'}>): void {
		if (this.#running.size !== 1) {
			return;
		}

		const {match} = this.#request;
		const policy = this.#context.getHedgePolicy?.(match);
		const isHedge = wake.kind === 'hedge';
		const isPaid = !isHedge || policy?.take();
		const budget = this.#context.getRetryBudget(match.service.name);
		if (isPaid && budget.take(budget.capacity * (isHedge ? initialReserveShare : wake.reserveShare))) {
			this.#startAttempt(isHedge);
		}
	}

	#startAttempt(isImmediate: boolean): void {
		const controller = new AbortController();
		const {signal} = this.#request;
		const cancel = () => {
			controller.abort(AttemptOutcome.cancelled);
		};

		signal.addEventListener('abort', cancel, {once: true});
		const attempt: RunningAttempt = {controller, timers: new Set()};
		this.#running.add(attempt);
		void this.#watchAttempt(attempt, isImmediate);
	}

	async #watchAttempt(attempt: RunningAttempt, isImmediate: boolean): Promise<void> {
		const end = await this.#runAttempt(attempt, isImmediate);
		cancelTimers(attempt);
		if (this.#running.has(attempt)) {
			this.#notify({kind: 'ended', attempt, end});
			return;
		}

		// Another attempt has won meanwhile.
		dropBody(end);
	}

	async #runAttempt(attempt: RunningAttempt, isImmediate: boolean): Promise<AttemptEnd> {
		const {signal} = attempt.controller;
		const granted = await acquireSlot(this.#request, this.#context, {excluded: this.#excluded, isImmediate, signal});
		if (granted.isErr()) {
			return {endpointId: undefined, isRetryable: false, result: err(granted.error)};
		}

		const grant = granted.value;
		const {endpointId} = grant;
		this.#excluded.push(endpointId);
		this.#scheduleSecond(attempt, grant);
		const startedAt = this.#context.clock();
		const sent = await sendGranted(this.#request, grant, this.#context, {signal, headers: this.#headers});
		if (sent.isErr()) {
			this.#mayHaveRun ||= !notRunOutcomes.has(sent.error.outcome);
			return {endpointId, isRetryable: sent.error.outcome !== AttemptOutcome.cancelled, result: err(sent.error.failure)};
		}

		this.#mayHaveRun = true;
		this.#context.getHedgePolicy?.(this.#request.match).record(this.#context.clock() - startedAt);
		return {endpointId, isRetryable: sent.value.status >= firstServerError, result: ok({response: sent.value, endpointId})};
	}

	/** Sets the times at which a second attempt starts, unless the first one has a response by then. */
	#scheduleSecond(attempt: RunningAttempt, {address}: SlotGrant): void {
		const policy = this.#context.getHedgePolicy?.(this.#request.match);
		if (!policy || this.#running.size > 1) {
			return;
		}

		if (policy.hedgeDelay !== undefined) {
			schedule(attempt, policy.hedgeDelay, () => {
				this.#notify({kind: 'hedge'});
			});
		}

		const startedAt = this.#context.clock();
		this.#scheduleSilence(attempt, policy.silenceLimit, initialReserveShare, () => {
			// Idle connections as old as the silent one may be lost too; a new one costs about 1 ms.
			this.#context.connections.get(address).dropOlder(startedAt);
		});
	}

	/** On a busy machine many attempts look silent at first; the longer one is silent, the more of the budget it may use. */
	#scheduleSilence(attempt: RunningAttempt, milliseconds: number, reserveShare: number, dropConnections: () => void): void {
		schedule(attempt, milliseconds, () => {
			dropConnections();
			this.#notify({kind: 'silence', reserveShare});
			this.#scheduleSilence(attempt, milliseconds * 2, reserveShare / 2, dropConnections);
		});
	}

	async #waitWake(): Promise<Wake> {
		const pending = this.#pendingWakes.shift();
		if (pending) {
			return pending;
		}

		return new Promise(resolve => {
			this.#wake = resolve;
		});
	}

	#notify(wake: Wake): void {
		const resolve = this.#wake;
		this.#wake = undefined;
		if (resolve) {
			resolve(wake);
			return;
		}

		this.#pendingWakes.push(wake);
	}

	#cancelOthers(): void {
		for (const attempt of this.#running) {
			cancelTimers(attempt);
			attempt.controller.abort(AttemptOutcome.cancelled);
		}

		this.#running.clear();
		this.#pendingWakes = [];
	}
}

function schedule({timers}: RunningAttempt, milliseconds: number, run: () => void): void {
	const timer = setTimeout(() => {
		timers.delete(timer);
		run();
	}, milliseconds);
	timers.add(timer);
}

function cancelTimers({timers}: RunningAttempt): void {
	for (const timer of timers) {
		clearTimeout(timer);
	}
}

/** Reads the body of a response that nobody wants, so that its connection can be used again. */
function dropBody({result}: AttemptEnd): void {
	if (result.isOk()) {
		const {body} = result.value.response;
		body.on('error', () => {/* The response is not used. */});
		body.resume();
	}
}
