import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {matchRoute} from '@tanagerrail/configuration';
import {createFailure, resultCodes, type Failure} from '@tanagerrail/results';
import {hashRequest, type CallerRequest} from './caller-request.js';
import {checkHead} from './check-head.js';
import {readBody} from './read-body.js';
import type {RequestContext} from './request-context.js';
import type {RequestLimits} from './request-limits.js';
import type {Arrival, RequestReceiver} from './request-receiver.js';
import {serveIdempotent} from './serve-idempotent.js';
import {serveKeyed} from './serve-keyed.js';

/** Options of {@link ServiceReceiver}. */
export type ServiceReceiverOptions = {
	readonly context: RequestContext;
	readonly limits: RequestLimits;
	/** Whether new requests are accepted. */
	readonly isReady: () => boolean;
};

/** Receives requests that are routed to work classes by method and path and claimed by idempotency key. */
export class ServiceReceiver implements RequestReceiver<CallerRequest> {
	readonly #options: ServiceReceiverOptions;

	constructor(options: ServiceReceiverOptions) {
		this.#options = options;
	}

	readId(): string {
		return randomUUID();
	}

	async receive(req: IncomingMessage, _: ServerResponse, {arrivedAt, connectionRequests, signal}: Arrival): Promise<Result<CallerRequest, Failure>> {
		const {context, limits, isReady} = this.#options;
		const method = req.method ?? 'GET';
		const target = req.url ?? '/';
		const checked = checkHead(req);
		if (checked.isErr()) {
			return err(checked.error);
		}

		if (connectionRequests > limits.pipelinedRequests) {
			return err(createFailure('pipeline-full', {limit: limits.pipelinedRequests}));
		}

		if (!context.getConfiguration()) {
			await context.waitConfiguration?.();
		}

		const configuration = context.getConfiguration();
		if (!configuration || !isReady()) {
			return err(createFailure('not-ready'));
		}

		const [path = '/'] = target.split('?', 1);
		const match = matchRoute(configuration, method, path);
		if (!match) {
			return err(createFailure('route-unknown', {method, path}));
		}

		const body = await readBody(req, {bytes: limits.bodyBytes, milliseconds: limits.requestMilliseconds});
		if (body.isErr()) {
			return err(body.error);
		}

		const requested = Number(req.headers['request-timeout'] ?? Infinity);
		const allowed = Math.min(match.workClass.deadlineMilliseconds, requested > 0 ? requested : Infinity);
		return ok({
			id: this.readId(), method, target, headers: req.headers, body: body.value, match, arrivedAt,
			deadline: arrivedAt + allowed, callerAddress: req.socket.remoteAddress ?? 'unknown', signal,
			fingerprint: hashRequest({
				method, target, body: body.value, match,
			}),
			wait: {milliseconds: 0},
		});
	}

	async serve(request: CallerRequest, res: ServerResponse, beforeHead: () => void): Promise<Result<void, Failure>> {
		const {context} = this.#options;
		const {service, workClass, route} = request.match;
		const serve = route.idempotent ? serveIdempotent : serveKeyed;
		beforeHead();
		const served = await serve(request, res, context);
		const milliseconds = context.clock() - request.arrivedAt;
		const tags = {service: service.name, work_class: workClass.name};
		context.metrics.recordTiming('request.duration', milliseconds, tags);
		if (served.isErr()) {
			context.metrics.count('request.refused', 1, {...tags, code: String(resultCodes[served.error.id].number)});
		}

		const status = served.isErr() ? resultCodes[served.error.id].status : served.value;
		context.metrics.count('request.finished', 1, {...tags, status_class: `${Math.floor(status / 100)}xx`});
		context.record({
			service: service.name,
			workClass: workClass.name,
			milliseconds,
			status,
			code: served.isErr() ? resultCodes[served.error.id].number : undefined,
			waitMilliseconds: request.wait.milliseconds,
		});
		return served.map(() => undefined);
	}

	buildRefusalHeaders(): Record<string, string> {
		return {};
	}

	countRefusal({id}: Failure): void {
		this.#options.context.metrics.count('request.malformed', 1, {code: String(resultCodes[id].number)});
	}
}
