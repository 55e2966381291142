import {err, ok, type Result} from 'neverthrow';
import {Repetition} from '@tanagerrail/configuration';
import {createFailure, Outcome, type Failure} from '@tanagerrail/results';
import type {
	DirectoryEndpoint, RatingLimits, Selection, SelectionRefusal,
} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {computeHedgeDelay} from './compute-hedge-delay.js';
import {EndpointWait} from './endpoint-wait.js';
import {EventQueue} from './event-queue.js';
import {Exchange} from './exchange.js';
import type {HeldConnection} from './probe-client.js';
import {logSelection} from './log-selection.js';
import {AttemptEnd, readAttemptEnd, type EndedAttempt} from './read-attempt-end.js';
import {AbortReason} from './request-receiver.js';
import {recordAttemptEnd} from './record-attempt-end.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest, RoutedResponse} from './routed-request.js';
import {TimerSet} from './timer-set.js';

const logger = createLogger('http');

type RunningAttempt = {readonly exchange: Exchange; readonly endpoint: DirectoryEndpoint};

/** What can happen while attempts run; events are handled one at a time, in order. */
type AttemptEvent =
	| {readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly ended: EndedAttempt}
	| {readonly kind: 'refused'; readonly refusal: SelectionRefusal; readonly isHedge: boolean}
	| {readonly kind: 'error'; readonly error: unknown}
	| {readonly kind: 'hedge' | 'timeout' | 'caller-gone' | 'resume'};

/** Body bytes to buffer before a response is forwarded; while it is buffered, a truncated response can still be retried. */
const bufferLimitBytes = 1_048_576;

/** Longest idle time of a pooled connection that is used without a probe, in milliseconds. */
const unprobedIdleMilliseconds = 50;

/** Number of attempts that a hedge must leave in the budget for retries of requests that were refused or lost. */
const hedgeBudgetReserve = 3;

/** Highest (worst) ratings of an endpoint that is selected for a hedge. */
const hedgeRatingLimits: RatingLimits = {withSlot: 1.4, withoutSlot: 0};

/** Sends a request to endpoints, with retries and a hedge, until one responds or a limit of its route is reached. */
export class RoutedAttempts {
	readonly #request: RoutedRequest;
	readonly #context: RoutedContext;
	readonly #running = new Set<RunningAttempt>();
	/** The exchanges of all attempts, also of those that have ended. */
	readonly #exchanges: Exchange[] = [];
	readonly #triedEndpoints = new Set<string>();
	/**
	 * Addresses of the tried endpoints. The id that an endpoint echoes is that of the caller's request, so a late copy of its refusal of one
	 * attempt could be taken for its refusal of the next one; an endpoint that is listed twice is one endpoint.
	 */
	readonly #triedAddresses = new Set<string>();
	readonly #timers = new TimerSet();
	readonly #events = new EventQueue<AttemptEvent>();
	readonly #wait: EndpointWait;
	#attemptCount = 0;
	#selectionCount = 0;
	#mayHaveRun = false;
	#isSelecting = false;
	#isClosed = false;
	#lastEnded: EndedAttempt | undefined;

	constructor(request: RoutedRequest, context: RoutedContext) {
		this.#request = request;
		this.#context = context;
		this.#wait = new EndpointWait({
			request,
			context,
			excludedAddresses: this.#triedAddresses,
			onEnd: () => {
				this.#notify({kind: 'resume'});
			},
		});
	}

	/** Number of attempts sent so far. */
	get attemptCount(): number {
		return this.#attemptCount;
	}

	/**
	 * Runs the attempts.
	 *
	 * @returns The response to forward, or the failure; its outcome is `not-run` only if the request has not run and never will.
	 */
	async run(): Promise<Result<RoutedResponse, Failure>> {
		const {clock, crashDetector} = this.#context;
		const {id, service, timeoutAt, signal} = this.#request;
		const refusal = crashDetector.findRefusal(this.#request);
		if (refusal) {
			return err(refusal);
		}

		this.#schedule(timeoutAt - clock(), {kind: 'timeout'});
		signal.addEventListener('abort', () => {
			this.#notifyAbort();
		}, {once: true});
		if (signal.aborted) {
			this.#notifyAbort();
		}

		if (this.#wait.isBehindOthers) {
			logger.log(LogLevel.info, 'request-queued', {request: id, service});
			this.#wait.start();
		} else {
			this.#startAttempt(false);
		}

		for (;;) {
			const result = this.#handle(await this.#events.take());
			if (result) {
				this.#close(result.isOk() ? result.value.exchange : undefined);
				return result;
			}
		}
	}

	#handle(event: AttemptEvent): Result<RoutedResponse, Failure> | undefined {
		switch (event.kind) {
			case 'ended': {
				return this.#handleEnd(event.attempt, event.ended);
			}

			case 'refused': {
				return event.isHedge ? this.#handleNoFurtherAttempt() : this.#handleSelectionRefusal(event.refusal);
			}

			case 'error': {
				logger.log(LogLevel.error, 'internal-error', {request: this.#request.id, reason: String(event.error)});
				return err(createFailure('internal-error', {reason: 'see the log'}));
			}

			case 'hedge': {
				this.#startHedge();
				return undefined;
			}

			case 'resume': {
				this.#startAttempt(false);
				return undefined;
			}

			case 'timeout': {
				return err(this.#mayHaveRun || this.#running.size > 0
					? createFailure('endpoint-timeout', {endpoint: [...this.#triedEndpoints].join(',')})
					: createFailure('no-free-slot', {service: this.#request.service}));
			}

			case 'caller-gone': {
				return this.#handleCallerDisconnect();
			}
		}
	}

	#handleEnd(attempt: RunningAttempt, ended: EndedAttempt): Result<RoutedResponse, Failure> | undefined {
		this.#running.delete(attempt);
		if (ended.end === AttemptEnd.answered) {
			return ok(ended.response!);
		}

		this.#mayHaveRun ||= ended.end !== AttemptEnd.notRun;
		// An error response of an endpoint tells the caller more than a failure generated by this host.
		this.#lastEnded = this.#lastEnded?.end === AttemptEnd.failed && ended.end !== AttemptEnd.failed ? this.#lastEnded : ended;
		if (this.#running.size > 0 || this.#isSelecting) {
			return undefined;
		}

		return this.#retryOrEnd(ended);
	}

	#retryOrEnd(ended: EndedAttempt): Result<RoutedResponse, Failure> | undefined {
		if (!this.#canRetry(ended)) {
			return this.#buildResult();
		}

		this.#wait.extend();
		this.#startAttempt(false);
		return undefined;
	}

	#canRetry({end}: EndedAttempt): boolean {
		const {route, service, timeoutAt, signal} = this.#request;
		const isAllowed = end === AttemptEnd.notRun || route.repetition === Repetition.idempotent;
		return isAllowed && !signal.aborted && this.#attemptCount < route.maximumAttempts && this.#context.clock() < timeoutAt
			&& !this.#context.crashDetector.findRefusal(this.#request) && this.#context.getBudget(service).take();
	}

	/** Retries the selection while there is still time to send the request. */
	#handleSelectionRefusal({kind, probes, milliseconds, pauseMilliseconds}: SelectionRefusal): Result<RoutedResponse, Failure> | undefined {
		const {service, arrivedAt, id} = this.#request;
		const waited = this.#context.clock() - arrivedAt;
		// A request that has tried all endpoints would only hold up the others.
		const isPaused = pauseMilliseconds !== undefined && this.#wait.isOverWithin(pauseMilliseconds);
		const isWaiting = !this.#wait.isOver && !isPaused && (kind !== 'none' || this.#triedEndpoints.size === 0);
		// Logged only when the wait begins and when it ends without an endpoint, because lines in between would add nothing.
		if (this.#selectionCount === 1 || !isWaiting) {
			logger.log(LogLevel.info, 'endpoint-missing', {
				request: id, service, kind, probes, milliseconds: Math.round(milliseconds), waited: Math.round(waited), selections: this.#selectionCount, isWaiting,
			});
		}

		if (isWaiting) {
			this.#wait.start();
			return undefined;
		}

		if (isPaused && !this.#mayHaveRun) {
			return err(createFailure('service-paused', {service, milliseconds: Math.ceil(pauseMilliseconds)}));
		}

		return this.#lastEnded ? this.#buildResult() : err(createFailure(kind === 'none' ? 'no-endpoint' : 'no-free-slot', {service}));
	}

	#handleNoFurtherAttempt(): Result<RoutedResponse, Failure> | undefined {
		return this.#running.size > 0 || !this.#lastEnded ? undefined : this.#retryOrEnd(this.#lastEnded);
	}

	/** A request that must not be repeated keeps running, because cancelling it could leave its work half done. */
	#handleCallerDisconnect(): Result<RoutedResponse, Failure> | undefined {
		if (this.#request.route.repetition === Repetition.once && this.#running.size > 0) {
			return undefined;
		}

		return err(createFailure('request-aborted'));
	}

	#buildResult(): Result<RoutedResponse, Failure> {
		const {response, failure} = this.#lastEnded!;
		if (response) {
			return ok(response);
		}

		return err(this.#mayHaveRun && failure.outcome !== Outcome.unknown
			? createFailure('endpoint-lost', {endpoint: [...this.#triedEndpoints].join(',')})
			: failure);
	}

	#startHedge(): void {
		const {service, route} = this.#request;
		const isAllowed = this.#running.size === 1 && !this.#isSelecting && this.#attemptCount < route.maximumAttempts;
		if (isAllowed && this.#context.getBudget(service).available >= 1 + hedgeBudgetReserve) {
			this.#startAttempt(true);
		}
	}

	#startAttempt(isHedge: boolean): void {
		this.#isSelecting = true;
		void this.#runAttempt(isHedge);
	}

	/** An error that nothing expected ends this request alone. */
	async #runAttempt(isHedge: boolean): Promise<void> {
		try {
			await this.#selectEndpoint(isHedge);
		} catch (error) {
			this.#notify({kind: 'error', error});
		}
	}

	async #selectEndpoint(isHedge: boolean): Promise<void> {
		const {service, route} = this.#request;
		const {selector, profiles, meter} = this.#context;
		const {bytes} = profiles.get(route.name);
		const selected = await selector.select({
			service,
			excludedAddresses: this.#triedAddresses,
			responseBytes: bytes,
			getRatingLimits: () => isHedge ? hedgeRatingLimits : this.#wait.ratingLimits,
			hasWaited: this.#wait.hasStarted,
		});
		this.#selectionCount += 1;
		this.#isSelecting = false;
		if ('kind' in selected) {
			meter.countSelection(service, selected.kind, selected.probes);
			this.#notify({kind: 'refused', refusal: selected, isHedge});
			return;
		}

		meter.countSelection(service, 'chosen', selected.reason.probes);
		const isUnneeded = this.#isClosed || (isHedge && (this.#running.size === 0 || !this.#context.getBudget(service).take(hedgeBudgetReserve)));
		if (isUnneeded) {
			selected.connection?.release();
			selected.record.endRequest();
			this.#notify({kind: 'refused', refusal: {kind: 'slow', probes: 0, milliseconds: 0}, isHedge: true});
			return;
		}

		await this.#send(selected);
	}

	async #send(selection: Selection<HeldConnection>): Promise<void> {
		const {clock, connections, endpoints} = this.#context;
		const {id, method, target, headers, body, timeoutAt} = this.#request;
		const {endpoint, record, connection: held} = selection;
		const startedAt = clock();
		logSelection(this.#request, selection, {attempt: this.#attemptCount + 1, remaining: timeoutAt - startedAt});
		this.#triedEndpoints.add(endpoint.id);
		this.#triedAddresses.add(endpoint.address);
		this.#attemptCount += 1;
		const pool = held?.pool ?? connections.get(endpoint.address);
		const exchange = new Exchange({
			pool,
			connection: held?.connection ?? pool.take(unprobedIdleMilliseconds),
			bufferLimitBytes,
			request: {
				method,
				target,
				body,
				headers: endpoints.buildHeaders({
					id, headers, endpoint, remainingMilliseconds: timeoutAt - startedAt,
				}),
			},
		});
		this.#exchanges.push(exchange);
		const attempt: RunningAttempt = {exchange, endpoint};
		this.#running.add(attempt);
		this.#scheduleHedge(startedAt);
		const ended = await readAttemptEnd({
			exchange, endpoint, request: this.#request, context: this.#context, startedAt,
		});
		record.endRequest();
		if (this.#running.has(attempt)) {
			recordAttemptEnd({
				request: this.#request, context: this.#context, selection, ended, connection: exchange.connection, startedAt,
			});
			this.#notify({kind: 'ended', attempt, ended});
		}
	}

	#scheduleHedge(startedAt: number): void {
		const {route, arrivedAt} = this.#request;
		if (route.repetition !== Repetition.idempotent || this.#attemptCount > 1) {
			return;
		}

		const delay = computeHedgeDelay(route.objectiveMilliseconds, this.#context.profiles.get(route.name).milliseconds);
		this.#schedule(arrivedAt + delay - startedAt, {kind: 'hedge'});
	}

	#schedule(milliseconds: number, event: AttemptEvent): void {
		this.#timers.schedule(milliseconds, () => {
			this.#notify(event);
		});
	}

	/** A host shutdown is handled as a timeout, because the caller is still connected and gets a response. */
	#notifyAbort(): void {
		this.#notify({kind: this.#request.signal.reason === AbortReason.hostShutdown ? 'timeout' : 'caller-gone'});
	}

	#notify(event: AttemptEvent): void {
		this.#events.push(event);
	}

	/**
	 * Aborts all exchanges but the one whose response is returned: those of attempts that still run, whose requests endpoints drop when
	 * the connection closes, and those with a response that nobody receives in full.
	 */
	#close(returned: Exchange | undefined): void {
		this.#isClosed = true;
		this.#wait.cancel();
		this.#timers.cancel();
		for (const exchange of this.#exchanges) {
			if (exchange !== returned) {
				exchange.abort();
			}
		}

		this.#running.clear();
	}
}
