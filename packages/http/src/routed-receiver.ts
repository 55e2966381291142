import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, resultCodes, type Failure} from '@tanagerrail/results';
import {defaultQuarantineOptions} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {stripHopByHop} from './forwarded-headers.js';
import {parseTarget} from './parse-target.js';
import {readBody} from './read-body.js';
import type {Arrival, RequestReceiver} from './request-receiver.js';
import {defaultRequestLimits} from './request-limits.js';
import {RoutedAttempts} from './routed-attempts.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest, RoutedResponse} from './routed-request.js';
import {waitDrain} from './wait-drain.js';

const logger = createLogger('http');

/** Value of `Retry-After` on refusals, in milliseconds. */
const retryAfterMilliseconds = 80;

/** Value of `Retry-After` on the refusal of a request that crashes endpoints, in milliseconds; its crashes are kept as long. */
const quarantineMilliseconds = defaultQuarantineOptions.retentionMilliseconds;

/** Value of `Retry-After` while the host holds as many request bodies as it may, in milliseconds. */
const bodyMemoryMilliseconds = 500;

/** Share of a pause over which the callers that were refused because of it are spread when they return. */
const returnSpreadShare = 0.25;

/** Value of `Retry-After` on refusals for which the default is wrong, in milliseconds. */
const retryAfterByFailure: Partial<Record<Failure['id'], (failure: Failure) => number>> = {
	quarantined: () => quarantineMilliseconds,
	'body-memory-full': () => bodyMemoryMilliseconds,
	'service-paused'({parameters: {milliseconds}}) {
		const pause = Number(milliseconds);
		return Math.ceil(pause + (Math.random() * Math.max(retryAfterMilliseconds, returnSpreadShare * pause)));
	},
};

/** Receives requests that are routed by host name and path prefix. */
export class RoutedReceiver implements RequestReceiver<RoutedRequest> {
	readonly #context: RoutedContext;

	constructor(context: RoutedContext) {
		this.#context = context;
	}

	readId(req: IncomingMessage): string {
		return this.#context.callers.readRequest(req.headers).id ?? crypto.randomUUID();
	}

	async receive(req: IncomingMessage, _: ServerResponse, {arrivedAt, signal}: Arrival): Promise<Result<RoutedRequest, Failure>> {
		const {getRoutes, callers, splitter, isReady, waitForState} = this.#context;
		const routes = getRoutes();
		if (!routes || !isReady()) {
			return err(createFailure('not-ready'));
		}

		const method = req.method ?? 'GET';
		const {host, target} = parseTarget(req.url, req.headers.host);
		const [path = '/'] = target.split('?', 1);
		const {id, waitMilliseconds} = callers.readRequest(req.headers);
		const reservation = this.#context.bodyBudget.openReservation();
		const body = await readBody(req, {
			bytes: routes.table.limits.bodyBytes, milliseconds: waitMilliseconds ?? defaultRequestLimits.requestMilliseconds, reservation,
		});
		if (body.isErr()) {
			reservation.release();
			return err(body.error);
		}

		await waitForState();
		// The table is read again, because it may have changed while the body was received.
		const index = getRoutes() ?? routes;
		const route = index.findRoute(host, path);
		if (!route) {
			reservation.release();
			return err(createFailure('route-unknown', {method, path}));
		}

		// The HTTP server has already told the caller to continue.
		const {expect: _expect, ...headers} = stripHopByHop(req.headers);
		return ok({
			id: id ?? crypto.randomUUID(),
			method,
			target,
			headers: {...headers, host},
			body: body.value,
			reservation,
			route,
			service: splitter.chooseService(route),
			revision: index.table.revision,
			arrivedAt,
			timeoutAt: arrivedAt + Math.min(route.timeoutMilliseconds, waitMilliseconds ?? Infinity),
			streamUntil: arrivedAt + (waitMilliseconds ?? route.timeoutMilliseconds),
			signal,
		});
	}

	release({reservation}: RoutedRequest): void {
		reservation.release();
	}

	async serve(request: RoutedRequest, res: ServerResponse, beforeHead: () => void): Promise<Result<void, Failure>> {
		const {getBudget, clock, meter} = this.#context;
		getBudget(request.service).addRequest();
		const attempts = new RoutedAttempts(request, this.#context);
		const answered = await attempts.run();
		const served = answered.isOk() ? await this.#forwardResponse(request, answered.value, res, beforeHead) : err(answered.error);
		const milliseconds = clock() - request.arrivedAt;
		const status = served.isErr() ? resultCodes[served.error.id].status : served.value;
		meter.countRequest(request.route.name, status, milliseconds);
		logger.log(served.isErr() || status >= 500 ? LogLevel.warn : LogLevel.info, 'request-finished', {
			request: request.id, route: request.route.name, service: request.service, revision: request.revision, status, milliseconds: Math.round(milliseconds),
			attempts: attempts.attemptCount, ...(served.isErr() && {failure: served.error.id, outcome: served.error.outcome ?? resultCodes[served.error.id].outcome}),
			...(answered.isOk() && {endpoint: answered.value.endpoint.id}),
		});
		return served.map(() => undefined);
	}

	buildRefusalHeaders(failure: Failure): Record<string, string> {
		const {status} = resultCodes[failure.id];
		const milliseconds = retryAfterByFailure[failure.id]?.(failure) ?? retryAfterMilliseconds;
		return status === 503 || status === 429 ? {'retry-after': String(milliseconds / 1000)} : {};
	}

	countRefusal({id}: Failure): void {
		this.#context.meter.countRequest('none', resultCodes[id].status, 0);
	}

	/** Forwards a response; if its body is cut off, closes the caller's connection, so that it never looks complete. */
	async #forwardResponse(request: RoutedRequest, {response, endpoint, exchange}: RoutedResponse, res: ServerResponse, beforeHead: () => void): Promise<Result<number, Failure>> {
		const {status, headers, body, isComplete, streamRest} = response;
		if (res.destroyed) {
			exchange.abort();
			return err(createFailure('request-aborted'));
		}

		beforeHead();
		const hasOwnLength = isComplete && request.method !== 'HEAD' && status !== 204 && status !== 304;
		res.writeHead(status, {...stripHopByHop(headers), ...(hasOwnLength && {'content-length': String(body.length)})});
		if (isComplete) {
			res.end(body);
			return ok(status);
		}

		res.write(body);
		const timer = setTimeout(() => {
			exchange.abort();
		}, Math.max(0, request.streamUntil - this.#context.clock()));
		const isBodyComplete = await streamRest(async chunk => {
			if (res.destroyed) {
				exchange.abort();
				return undefined;
			}

			return res.write(chunk) ? undefined : waitDrain(res);
		});
		clearTimeout(timer);
		if (!isBodyComplete) {
			res.destroy();
			return err(createFailure('answer-incomplete', {endpoint: endpoint.id}));
		}

		res.end();
		return ok(status);
	}
}
