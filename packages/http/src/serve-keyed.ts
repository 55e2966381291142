import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Claim, StoredOutcome} from '@tanagerrail/claims';
import {MissingKeyPolicy} from '@tanagerrail/configuration';
import {
	createFailure, Outcome, type Failure,
} from '@tanagerrail/results';
import {AttemptOutcome, notRunOutcomes, type SlotGrant} from '@tanagerrail/routing';
import {acquireSlot} from './acquire-slot.js';
import {BodyBuffer} from './body-buffer.js';
import type {CallerRequest} from './caller-request.js';
import type {EndpointResponse} from './endpoint-attempt.js';
import {sendWithGrant} from './send-with-grant.js';
import {stripHopByHop} from './forwarded-headers.js';
import type {RequestContext} from './request-context.js';
import {hasNoBody} from './stream-response.js';

/** Valid `Idempotency-Key`: 1 to 255 printable ASCII characters. */
const keyPattern = /^[!-~]{1,255}$/v;

/**
 * Longest idle time of a connection that is reused, in milliseconds. One that was idle for longer may be lost without
 * either end noticing, and a request that must not be repeated could not be retried on another one.
 */
const reuseLimitMilliseconds = 2000;

/** Headers that describe the endpoint's state when it responded; not stored, because a replay would send outdated values. */
const transientHeaders: ReadonlySet<string> = new Set(['endpoint-load-metrics', 'endpoint-state']);

/**
 * Serves a request that is not idempotent. If it has an idempotency key, the key is claimed first, so that no other host
 * dispatches the request too. It is retried only if it certainly did not run.
 *
 * @param request - The caller's request.
 * @param res - Response to the caller.
 * @param context - Dependencies of request handling.
 * @returns The status sent, or the failure to respond with.
 */
export async function serveKeyed(request: CallerRequest, res: ServerResponse, context: RequestContext): Promise<Result<number, Failure>> {
	const {service} = request.match;
	const key = request.headers['idempotency-key'];
	if (key === undefined) {
		return service.missingKey === MissingKeyPolicy.refuse ? err(createFailure('key-required')) : respond(await runOnce(request, context), res);
	}

	if (typeof key !== 'string' || !keyPattern.test(key)) {
		return err(createFailure('key-malformed'));
	}

	const remaining = request.deadline - context.clock();
	if (remaining <= 0) {
		return err(createFailure('deadline-exceeded'));
	}

	const claimed = await context.claims.claim({
		service: service.name, key, fingerprint: request.fingerprint, outcomeDays: service.outcomeDays,
	}, remaining);
	if (claimed.isErr()) {
		return err(claimed.error);
	}

	return claimed.value.kind === 'done'
		? respond(ok(claimed.value.outcome), res)
		: respond(await runClaimed(request, claimed.value.claim, context), res);
}

async function runClaimed(request: CallerRequest, claim: Claim, context: RequestContext): Promise<Result<StoredOutcome, Failure>> {
	const outcome = await runOnce(request, context, claim);
	if (outcome.isOk()) {
		await context.claims.storeOutcome(claim, outcome.value);
		return outcome;
	}

	if (outcome.error.id !== 'outcome-unknown') {
		// Not awaited, because a resend that arrives before the claim is removed waits for the removal.
		void context.claims.remove(claim);
	}

	return outcome;
}

/**
 * Runs the request on one endpoint and retries on another one only if the first certainly did not run it.
 *
 * @returns The response; `outcome-unknown` if the request may have run, otherwise a failure with the outcome `not-run`.
 */
async function runOnce(request: CallerRequest, context: RequestContext, claim?: Claim): Promise<Result<StoredOutcome, Failure>> {
	const {service} = request.match;
	const budget = context.getRetryBudget(service.name);
	const excluded: string[] = [];
	budget.add();
	for (;;) {
		const slot = await acquireSlot(request, context, {excluded});
		if (slot.isErr()) {
			// This request has not run; the outcome of an earlier request with the same key does not matter here.
			return err({...slot.error, outcome: Outcome.notRun});
		}

		const grant = slot.value;
		if (claim && !context.claims.recordDispatch(claim)) {
			grant.release({outcome: AttemptOutcome.unused, milliseconds: 0, isDraining: false});
			return err(createFailure('outcome-unknown'));
		}

		// The attempt continues after the caller disconnects, because its outcome must be stored for a resend.
		const attempt = await sendWithGrant(request, grant, context, {maximumIdleMilliseconds: reuseLimitMilliseconds, signal: new AbortController().signal});
		if (attempt.isOk()) {
			return collectOutcome(attempt.value, request.method);
		}

		if (!notRunOutcomes.has(attempt.error.outcome)) {
			return err(createFailure('outcome-unknown'));
		}

		if (claim) {
			context.claims.recordNotRun(claim);
		}

		if (!budget.take()) {
			return err({...attempt.error.failure, outcome: Outcome.notRun});
		}

		excluded.push(grant.endpointId);
	}
}

async function collectOutcome({status, headers, body, contentLength}: EndpointResponse, method: string): Promise<Result<StoredOutcome, Failure>> {
	const collected = new BodyBuffer(contentLength);
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			collected.append(chunk);
		}
	} catch {
		return err(createFailure('outcome-unknown'));
	}

	const wholeBody = collected.take();
	if (contentLength !== undefined && wholeBody.length !== contentLength && !hasNoBody(status, method)) {
		return err(createFailure('outcome-unknown'));
	}

	const stored = Object.entries(stripHopByHop(headers)).filter(([name]) => !transientHeaders.has(name));
	return ok({status, headers: Object.fromEntries(stored), body: wholeBody});
}

function respond(outcome: Result<StoredOutcome, Failure>, res: ServerResponse): Result<number, Failure> {
	return outcome.map(({status, headers, body}) => {
		res.writeHead(status, hasNoBody(status, res.req.method ?? '') ? headers : {...headers, 'content-length': body.length});
		res.end(body);
		return status;
	});
}
