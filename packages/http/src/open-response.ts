import {err, ok, type Result} from 'neverthrow';
import {createFailure, Outcome, type Failure} from '@tanagerrail/results';
import {AttemptOutcome, notRunOutcomes, type SlotGrant} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {acquireSlot} from './acquire-slot.js';
import type {CallerRequest} from './caller-request.js';
import type {EndpointResponse} from './endpoint-attempt.js';
import type {HeaderFields} from './forwarded-headers.js';
import type {RequestContext} from './request-context.js';
import {firstServerError, sendWithGrant} from './send-with-grant.js';

const logger = createLogger('http');

/** A response whose body has not been read yet. */
export type OpenedResponse = {readonly response: EndpointResponse; readonly endpointId: string};

/** Options of {@link ResponseOpener}. */
export type ResponseOpenerOptions = {
	readonly request: CallerRequest;
	readonly context: RequestContext;
	/** Headers that replace those of the caller's request; none by default. */
	readonly headers?: HeaderFields;
	/** Endpoints to which the request is not sent; none by default. */
	readonly excluded?: readonly string[];
};

/** An attempt that has ended, with a response of any status or with a failure. */
type EndedAttempt = {
	readonly endpointId: string | undefined;
	readonly isRetryable: boolean;
	readonly result: Result<OpenedResponse, Failure>;
};

/** An attempt in progress, with the timers that may start a concurrent second attempt. */
type RunningAttempt = {readonly controller: AbortController; readonly timers: Set<NodeJS.Timeout>};

/** What can happen while attempts run. */
type AttemptEvent =
	| {readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly ended: EndedAttempt}
	| {readonly kind: 'hedge'}
	| {readonly kind: 'silence'; readonly reserveShare: number};

/**
 * Fraction of the retry budget that is reserved for retries of failed attempts. It limits hedges and the second attempts
 * that start when an attempt reaches the silence limit for the first time.
 */
const initialReserveShare = 0.5;

/**
 * Opens a response to an idempotent request: failed attempts are retried on other endpoints, and a second attempt
 * starts while one takes unusually long, within the deadline and the budgets.
 */
export class ResponseOpener {
	readonly #request: CallerRequest;
	readonly #context: RequestContext;
	readonly #headers: HeaderFields;
	readonly #excluded: string[];
	readonly #running = new Set<RunningAttempt>();
	#mayHaveRun = false;
	#notifyWaiter: ((event: AttemptEvent) => void) | undefined;
	#pendingEvents: AttemptEvent[] = [];

	constructor({request, context, headers = {}, excluded = []}: ResponseOpenerOptions) {
		this.#request = request;
		this.#context = context;
		this.#headers = headers;
		this.#excluded = [...excluded];
	}

	/**
	 * Opens the response.
	 *
	 * @returns The first response below status 500, otherwise the error response or the failure of the last attempt.
	 */
	async open(): Promise<Result<OpenedResponse, Failure>> {
		this.#startAttempt(false);
		for (;;) {
			const event = await this.#waitEvent();
			if (event.kind !== 'ended') {
				this.#startSecondAttempt(event);
				continue;
			}

			const {attempt, ended} = event;
			this.#running.delete(attempt);
			const isGood = ended.result.isOk() && !ended.isRetryable;
			if (!isGood && this.#running.size > 0) {
				drainBody(ended);
				continue;
			}

			if (!isGood && this.#canRetry(ended)) {
				drainBody(ended);
				logger.log(LogLevel.debug, 'endpoint-retried', {request: this.#request.id, endpoint: ended.endpointId});
				this.#startAttempt(false);
				continue;
			}

			this.#cancelRunning();
			// Even if the last attempt did not run, an earlier one may have.
			return ended.result.mapErr(failure => this.#mayHaveRun ? {...failure, outcome: Outcome.unknown} : failure);
		}
	}

	#canRetry({isRetryable}: EndedAttempt): boolean {
		const {deadline, match: {service, workClass}, signal} = this.#request;
		return isRetryable && !signal.aborted && this.#context.clock() < deadline - workClass.usualMilliseconds
			&& this.#context.getRetryBudget(service.name).take();
	}

	#startSecondAttempt(event: Exclude<AttemptEvent, {kind: 'ended'}>): void {
		if (this.#running.size !== 1) {
			return;
		}

		const {match} = this.#request;
		const policy = this.#context.getHedgePolicy?.(match);
		const isHedge = event.kind === 'hedge';
		const isWithinHedgeBudget = !isHedge || policy?.take();
		const budget = this.#context.getRetryBudget(match.service.name);
		if (isWithinHedgeBudget && budget.take(budget.capacity * (isHedge ? initialReserveShare : event.reserveShare))) {
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
		const ended = await this.#runAttempt(attempt, isImmediate);
		cancelTimers(attempt);
		if (this.#running.has(attempt)) {
			this.#notify({kind: 'ended', attempt, ended});
			return;
		}

		// Another attempt has already provided the response.
		drainBody(ended);
	}

	async #runAttempt(attempt: RunningAttempt, isImmediate: boolean): Promise<EndedAttempt> {
		const {signal} = attempt.controller;
		const granted = await acquireSlot(this.#request, this.#context, {excluded: this.#excluded, isImmediate, signal});
		if (granted.isErr()) {
			return {endpointId: undefined, isRetryable: false, result: err(granted.error)};
		}

		const grant = granted.value;
		const {endpointId} = grant;
		this.#excluded.push(endpointId);
		this.#scheduleSecondAttempt(attempt, grant);
		const startedAt = this.#context.clock();
		const sent = await sendWithGrant(this.#request, grant, this.#context, {signal, headers: this.#headers});
		if (sent.isErr()) {
			this.#mayHaveRun ||= !notRunOutcomes.has(sent.error.outcome);
			return {endpointId, isRetryable: sent.error.outcome !== AttemptOutcome.cancelled, result: err(sent.error.failure)};
		}

		this.#mayHaveRun = true;
		this.#context.getHedgePolicy?.(this.#request.match).record(this.#context.clock() - startedAt);
		return {endpointId, isRetryable: sent.value.status >= firstServerError, result: ok({response: sent.value, endpointId})};
	}

	/** Schedules a hedge and the silence checks, each of which may start a second attempt until the first one has a response. */
	#scheduleSecondAttempt(attempt: RunningAttempt, {address}: SlotGrant): void {
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
		this.#scheduleSilenceCheck(attempt, policy.silenceLimit, initialReserveShare, () => {
			// Connections that have been idle since before the silent attempt may be lost too; opening a new one takes about 1 ms.
			this.#context.connections.get(address).dropIdleSince(startedAt);
		});
	}

	/**
	 * Drops stale idle connections and reports silence at doubling intervals, until the timers of the attempt are cancelled.
	 * Each time, the fraction of the budget that is reserved is halved: on a busy machine many attempts exceed the first
	 * limit, so only longer silence may use more of the budget.
	 */
	#scheduleSilenceCheck(attempt: RunningAttempt, milliseconds: number, reserveShare: number, dropConnections: () => void): void {
		schedule(attempt, milliseconds, () => {
			dropConnections();
			this.#notify({kind: 'silence', reserveShare});
			this.#scheduleSilenceCheck(attempt, milliseconds * 2, reserveShare / 2, dropConnections);
		});
	}

	async #waitEvent(): Promise<AttemptEvent> {
		const pending = this.#pendingEvents.shift();
		if (pending) {
			return pending;
		}

		return new Promise(resolve => {
			this.#notifyWaiter = resolve;
		});
	}

	#notify(event: AttemptEvent): void {
		const resolve = this.#notifyWaiter;
		this.#notifyWaiter = undefined;
		if (resolve) {
			resolve(event);
			return;
		}

		this.#pendingEvents.push(event);
	}

	#cancelRunning(): void {
		for (const attempt of this.#running) {
			cancelTimers(attempt);
			attempt.controller.abort(AttemptOutcome.cancelled);
		}

		this.#running.clear();
		this.#pendingEvents = [];
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

/** Reads and discards the body of an unused response, so that its connection can be reused. */
function drainBody({result}: EndedAttempt): void {
	if (result.isOk()) {
		const {body} = result.value.response;
		body.on('error', () => {/* The response is not used. */});
		body.resume();
	}
}
