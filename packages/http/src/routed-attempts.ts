import {err, ok, type Result} from 'neverthrow';
import {Repetition} from '@tanagerrail/configuration';
import {createFailure, Outcome, type Failure} from '@tanagerrail/results';
import type {DirectoryEndpoint, Selection, SelectionRefusal} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {Deferred} from './deferred.js';
import {EndpointWait} from './endpoint-wait.js';
import {Exchange} from './exchange.js';
import type {HeldConnection} from './probe-client.js';
import {logChoice} from './log-choice.js';
import {AttemptEnd, readAttemptEnd, type EndedAttempt} from './read-attempt-end.js';
import {RequestAbort} from './request-receiver.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest, RoutedResponse} from './routed-request.js';

const logger = createLogger('http');

type RunningAttempt = {readonly exchange: Exchange; readonly endpoint: DirectoryEndpoint};

type Wake =
	| {readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly ended: EndedAttempt}
	| {readonly kind: 'refused'; readonly refusal: SelectionRefusal; readonly isSpeculative: boolean}
	| {readonly kind: 'hedge' | 'timeout' | 'caller-gone' | 'resume'};

/** Body bytes that are received before a response is passed on, so that one that breaks off can be repeated. */
const bufferBytes = 1_048_576;

/** Longest silence of a kept connection that is used without a probe, in milliseconds. */
const unprobedSilence = 50;

/** Probes of a selection after the first one of a request. */
const reselectProbes = 2;

/** Rating up to which an endpoint is taken at once, in usual durations of the work. */
const goodRating = 1.4;

/** How much worse an endpoint may be after a wait of one usual duration of the work. */
const patienceSlope = 2;

/** Usual duration of the work that is assumed before the first response, in milliseconds. */
const assumedMilliseconds = 150;

/** Attempts that stay in the budget for requests that were refused or lost. */
const hedgeReserve = 3;

/** Part of the latency objective for which a request waits for an endpoint that is not full. */
const waitShare = 0.6;

/** Part of the latency objective after which a second attempt starts at the earliest. */
const earliestHedgeShare = 0.35;

/** Part of the latency objective after which a second attempt starts, while no usual duration is known. */
const usualHedgeShare = 0.5;

/** Rating that the endpoint of a second attempt must reach, in usual durations of the work. */
const worstHedgeRating = 1.4;

/** Sends one request to endpoints until one has answered, within the limits of its route. */
export class RoutedAttempts {
	readonly #request: RoutedRequest;
	readonly #context: RoutedContext;
	readonly #running = new Set<RunningAttempt>();
	readonly #tried = new Set<string>();
	readonly #timers = new Set<NodeJS.Timeout>();
	readonly #wakes: Wake[] = [];
	#wakeSignal = new Deferred<void>();
	#waiting: EndpointWait | undefined;
	#sent = 0;
	#selections = 0;
	#mayHaveRun = false;
	#isSelecting = false;
	#isClosed = false;
	#last: EndedAttempt | undefined;

	constructor(request: RoutedRequest, context: RoutedContext) {
		this.#request = request;
		this.#context = context;
	}

	/** Number of endpoints to which the request was sent. */
	get sent(): number {
		return this.#sent;
	}

	/**
	 * Runs the attempts.
	 *
	 * @returns The response to pass on, or why there is none; `not-run` only if the request has not run and never will.
	 */
	async run(): Promise<Result<RoutedResponse, Failure>> {
		const {clock} = this.#context;
		const {timeoutAt, signal} = this.#request;
		this.#schedule(timeoutAt - clock(), {kind: 'timeout'});
		signal.addEventListener('abort', () => {
			this.#notifyAbort();
		}, {once: true});
		if (signal.aborted) {
			this.#notifyAbort();
		}

		this.#startAttempt(false);
		for (;;) {
			const result = this.#handle(await this.#waitWake());
			if (result) {
				this.#close();
				return result;
			}
		}
	}

	#handle(wake: Wake): Result<RoutedResponse, Failure> | undefined {
		switch (wake.kind) {
			case 'ended': {
				return this.#handleEnd(wake.attempt, wake.ended);
			}

			case 'refused': {
				return wake.isSpeculative ? this.#handleNothingLeft() : this.#handleRefusal(wake.refusal);
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
					? createFailure('endpoint-timeout', {endpoint: [...this.#tried].join(',')})
					: createFailure('no-free-slot', {service: this.#request.service}));
			}

			case 'caller-gone': {
				return this.#handleCallerGone();
			}
		}
	}

	#handleEnd(attempt: RunningAttempt, ended: EndedAttempt): Result<RoutedResponse, Failure> | undefined {
		this.#running.delete(attempt);
		if (ended.end === AttemptEnd.answered) {
			return ok(ended.answer!);
		}

		this.#mayHaveRun ||= ended.end !== AttemptEnd.notRun;
		// The endpoint's own failure is worth more to the caller than one of this host.
		this.#last = this.#last?.end === AttemptEnd.failed && ended.end !== AttemptEnd.failed ? this.#last : ended;
		if (this.#running.size > 0 || this.#isSelecting) {
			return undefined;
		}

		if (this.#canRepeat(ended)) {
			this.#startAttempt(false);
			return undefined;
		}

		return this.#conclude();
	}

	#canRepeat({end}: EndedAttempt): boolean {
		const {route, service, timeoutAt, signal} = this.#request;
		const isAllowed = end === AttemptEnd.notRun || route.repetition === Repetition.idempotent;
		return isAllowed && !signal.aborted && this.#sent < route.maximumAttempts && this.#context.clock() < timeoutAt
			&& this.#context.getBudget(service).take();
	}

	/** Looks again while the request can still be offered to an endpoint in time. */
	#handleRefusal({kind, probes, milliseconds}: SelectionRefusal): Result<RoutedResponse, Failure> | undefined {
		const {route, service, arrivedAt, id} = this.#request;
		const waited = this.#context.clock() - arrivedAt;
		const isWaiting = waited < route.objectiveMilliseconds * waitShare;
		// One line when the wait begins and one when it ends without an endpoint tell as much as one for each look.
		if (this.#selections === 1 || !isWaiting) {
			logger.log(LogLevel.info, 'endpoint-missing', {
				request: id, service, kind, probes, milliseconds: Math.round(milliseconds), waited: Math.round(waited), selections: this.#selections, isWaiting,
			});
		}

		if (isWaiting) {
			this.#waitForEndpoint();
			return undefined;
		}

		return this.#last ? this.#conclude() : err(createFailure(kind === 'none' ? 'no-endpoint' : 'no-free-slot', {service}));
	}

	/** Looks again when an endpoint reports room, or after a while. */
	#waitForEndpoint(): void {
		this.#waiting = new EndpointWait(this.#context.selector, this.#request.service);
		void this.#resumeAfter(this.#waiting);
	}

	async #resumeAfter(waiting: EndpointWait): Promise<void> {
		await waiting.ended;
		this.#notify({kind: 'resume'});
	}

	#handleNothingLeft(): Result<RoutedResponse, Failure> | undefined {
		if (this.#running.size > 0 || !this.#last) {
			return undefined;
		}

		if (this.#canRepeat(this.#last)) {
			this.#startAttempt(false);
			return undefined;
		}

		return this.#conclude();
	}

	/** Work that may not be repeated goes on to its end, because breaking it off would leave it half done. */
	#handleCallerGone(): Result<RoutedResponse, Failure> | undefined {
		if (this.#request.route.repetition === Repetition.once && this.#running.size > 0) {
			return undefined;
		}

		return err(createFailure('request-aborted'));
	}

	#conclude(): Result<RoutedResponse, Failure> {
		const {answer, failure} = this.#last!;
		if (answer) {
			return ok(answer);
		}

		return err(this.#mayHaveRun && failure.outcome !== Outcome.unknown
			? createFailure('endpoint-lost', {endpoint: [...this.#tried].join(',')})
			: failure);
	}

	#startHedge(): void {
		const {service, route} = this.#request;
		const isAllowed = this.#running.size === 1 && !this.#isSelecting && this.#sent < route.maximumAttempts;
		if (isAllowed && this.#context.getBudget(service).available >= 1 + hedgeReserve) {
			this.#startAttempt(true);
		}
	}

	#startAttempt(isSpeculative: boolean): void {
		this.#isSelecting = true;
		void this.#selectEndpoint(isSpeculative);
	}

	async #selectEndpoint(isSpeculative: boolean): Promise<void> {
		const {service, route, arrivedAt} = this.#request;
		const {selector, profiles, meter, clock} = this.#context;
		const {bytes, milliseconds: usual = assumedMilliseconds} = profiles.get(route.name);
		// Short work on a fast endpoint is over before long work on a slow one, so a short wait for a good endpoint pays.
		const patience = patienceSlope * (clock() - arrivedAt) / usual;
		const selected = await selector.select({
			service,
			excluded: this.#tried,
			responseBytes: bytes,
			worstRating: isSpeculative ? worstHedgeRating : goodRating + patience,
			...(this.#selections > 0 && {maximumProbes: reselectProbes}),
		});
		this.#selections += 1;
		this.#isSelecting = false;
		if ('kind' in selected) {
			meter.countSelection(service, selected.kind, selected.probes);
			this.#notify({kind: 'refused', refusal: selected, isSpeculative});
			return;
		}

		meter.countSelection(service, 'chosen', selected.reason.probes);
		const isUseless = this.#isClosed || (isSpeculative && (this.#running.size === 0 || !this.#context.getBudget(service).take(hedgeReserve)));
		if (isUseless) {
			selected.connection?.release();
			this.#notify({kind: 'refused', refusal: {kind: 'slow', probes: 0, milliseconds: 0}, isSpeculative: true});
			return;
		}

		await this.#send(selected);
	}

	async #send(selection: Selection<HeldConnection>): Promise<void> {
		const {clock, connections, endpoints} = this.#context;
		const {id, method, target, headers, body, timeoutAt} = this.#request;
		const {endpoint, record, connection: held} = selection;
		const startedAt = clock();
		logChoice(this.#request, selection, {attempt: this.#sent + 1, remaining: timeoutAt - startedAt});
		this.#tried.add(endpoint.id);
		this.#sent += 1;
		const pool = held?.pool ?? connections.get(endpoint.address);
		const exchange = new Exchange({
			pool,
			connection: held?.connection ?? pool.take(unprobedSilence),
			bufferBytes,
			request: {
				method,
				target,
				body,
				headers: endpoints.buildHeaders({
					id, headers, endpoint, remainingMilliseconds: timeoutAt - startedAt,
				}),
			},
		});
		const attempt: RunningAttempt = {exchange, endpoint};
		this.#running.add(attempt);
		record.startRequest();
		this.#scheduleHedge(startedAt);
		const ended = await readAttemptEnd({
			exchange, endpoint, request: this.#request, context: this.#context, startedAt,
		});
		record.endRequest();
		if (this.#running.has(attempt)) {
			this.#recordEnd(selection, ended, clock() - startedAt);
			this.#notify({kind: 'ended', attempt, ended});
		}
	}

	#recordEnd({endpoint, record}: Selection<HeldConnection>, {end, failure}: EndedAttempt, milliseconds: number): void {
		const {clock, meter} = this.#context;
		const {id, service} = this.#request;
		meter.countAttempt(service, end, milliseconds);
		if (end === AttemptEnd.answered) {
			record.recordSuccess();
			return;
		}

		record.recordFailure(clock());
		logger.log(LogLevel.info, 'attempt-failed', {
			request: id, endpoint: endpoint.id, end, failure: failure.id, milliseconds: Math.round(milliseconds), failureShare: Number(record.computeFailureShare(clock()).toFixed(2)),
		});
	}

	/** A second attempt has to start early enough to end within the objective. */
	#scheduleHedge(startedAt: number): void {
		const {route, arrivedAt} = this.#request;
		if (route.repetition !== Repetition.idempotent || this.#sent > 1) {
			return;
		}

		const {objectiveMilliseconds: objective} = route;
		const usual = this.#context.profiles.get(route.name).milliseconds;
		const delay = usual === undefined ? objective * usualHedgeShare : Math.max(objective * earliestHedgeShare, objective - (1.2 * usual));
		this.#schedule(arrivedAt + delay - startedAt, {kind: 'hedge'});
	}

	#schedule(milliseconds: number, wake: Wake): void {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			this.#notify(wake);
		}, Math.max(0, milliseconds));
		this.#timers.add(timer);
	}

	async #waitWake(): Promise<Wake> {
		while (this.#wakes.length === 0) {
			this.#wakeSignal = new Deferred();
			await this.#wakeSignal.promise;
		}

		return this.#wakes.shift()!;
	}

	/** The end of the host leaves a request no more time, and its caller is there to be told so. */
	#notifyAbort(): void {
		this.#notify({kind: this.#request.signal.reason === RequestAbort.hostEnds ? 'timeout' : 'caller-gone'});
	}

	#notify(wake: Wake): void {
		this.#wakes.push(wake);
		this.#wakeSignal.resolve();
	}

	/** Cancels what is still running; endpoints drop a request when its connection closes. */
	#close(): void {
		this.#isClosed = true;
		this.#waiting?.cancel();
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		for (const {exchange} of this.#running) {
			exchange.abort();
		}

		this.#running.clear();
	}
}
