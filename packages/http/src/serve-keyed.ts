import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Claim, StoredOutcome} from '@tanagerrail/claims';
import {MissingKey} from '@tanagerrail/configuration';
import {
	createFailure, Outcome, type Failure,
} from '@tanagerrail/results';
import {AttemptOutcome, notRunOutcomes, type SlotGrant} from '@tanagerrail/routing';
import {acquireSlot} from './acquire-slot.js';
import type {CallerRequest} from './caller-request.js';
import type {EndpointResponse} from './endpoint-attempt.js';
import {sendGranted} from './send-granted.js';
import {stripHopByHop} from './forwarded-headers.js';
import type {RequestContext} from './request-context.js';
import {hasNoBody} from './stream-response.js';

/** Form of an `Idempotency-Key`: printable ASCII, at most 255 characters. */
const keyPattern = /^[!-~]{1,255}$/v;

/** Connections silent for longer may have been lost track of; work that must not repeat does not risk them. */
const maximumSilenceMilliseconds = 2000;

/** Headers about the endpoint at the time of its response; a replay would tell them too late. */
const passingHeaders: ReadonlySet<string> = new Set(['endpoint-load-metrics', 'endpoint-state']);

/**
 * Serves a request that is not idempotent: it is claimed before it is dispatched, and dispatched once.
 *
 * @param request - The caller's request.
 * @param res - Response to the caller.
 * @param context - The host's request path.
 * @returns The status sent, or the failure to answer with.
 */
export async function serveKeyed(request: CallerRequest, res: ServerResponse, context: RequestContext): Promise<Result<number, Failure>> {
	const {service} = request.match;
	const key = request.headers['idempotency-key'];
	if (key === undefined) {
		return service.missingKey === MissingKey.refuse ? err(createFailure('key-required')) : respond(await runOnce(request, context), res);
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
		await context.claims.finish(claim, outcome.value);
		return outcome;
	}

	if (outcome.error.id !== 'outcome-unknown') {
		// A resend that comes before the removal waits for it, so the refusal need not.
		void context.claims.remove(claim);
	}

	return outcome;
}

/**
 * Runs the request on one endpoint; goes to another one only when the former certainly did not run it.
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
			// Nothing of this request has run, whatever became of an equal one before it.
			return err({...slot.error, outcome: Outcome.notRun});
		}

		const grant = slot.value;
		if (claim && !context.claims.recordDispatch(claim)) {
			grant.release({outcome: AttemptOutcome.unused, milliseconds: 0, isDraining: false});
			return err(createFailure('outcome-unknown'));
		}

		// The caller's disconnection does not cancel the attempt: its outcome must be stored for the resend.
		const attempt = await sendGranted(request, grant, context, {maximumSilence: maximumSilenceMilliseconds, signal: new AbortController().signal});
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
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}
	} catch {
		return err(createFailure('outcome-unknown'));
	}

	const whole = Buffer.concat(chunks);
	if (contentLength !== undefined && whole.length !== contentLength && !hasNoBody(status, method)) {
		return err(createFailure('outcome-unknown'));
	}

	const stored = Object.entries(stripHopByHop(headers)).filter(([name]) => !passingHeaders.has(name));
	return ok({status, headers: Object.fromEntries(stored), body: whole});
}

function respond(outcome: Result<StoredOutcome, Failure>, res: ServerResponse): Result<number, Failure> {
	return outcome.map(({status, headers, body}) => {
		res.writeHead(status, hasNoBody(status, res.req.method ?? '') ? headers : {...headers, 'content-length': body.length});
		res.end(body);
		return status;
	});
}
