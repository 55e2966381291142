import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Claim, StoredOutcome} from '@tanagerrail/claims';
import {MissingKey} from '@tanagerrail/configuration';
import {
	createFailure, getOutcome, Outcome, type Failure,
} from '@tanagerrail/results';
import {AttemptOutcome} from '@tanagerrail/routing';
import {hashRequest, type CallerRequest} from './caller-request.js';
import type {EndpointResponse} from './endpoint-attempt.js';
import {sendGranted} from './send-granted.js';
import {stripHopByHop} from './forwarded-headers.js';
import type {RequestContext} from './request-context.js';

/** Form of an `Idempotency-Key`: printable ASCII, at most 255 characters. */
const keyPattern = /^[!-~]{1,255}$/v;

/** Connections silent for longer may have been lost track of; work that must not repeat does not risk them. */
const maximumSilenceMilliseconds = 2000;

/** Outcomes of attempts that certainly did not run. */
const notRunOutcomes: ReadonlySet<AttemptOutcome> = new Set([AttemptOutcome.refused, AttemptOutcome.unreachable, AttemptOutcome.unused]);

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

	const claimed = await context.claims.claim({
		service: service.name, key, fingerprint: hashRequest(request), outcomeDays: service.outcomeDays,
	}, request.deadline - context.clock());
	if (claimed.isErr()) {
		return err(claimed.error);
	}

	return claimed.value.kind === 'done'
		? respond(ok(claimed.value.outcome), res)
		: respond(await runClaimed(request, claimed.value.claim, context), res);
}

async function runClaimed(request: CallerRequest, claim: Claim, context: RequestContext): Promise<Result<StoredOutcome, Failure>> {
	const outcome = await runOnce(request, context);
	if (outcome.isOk()) {
		await context.claims.finish(claim, outcome.value);
		return outcome;
	}

	if (getOutcome(outcome.error) === Outcome.notRun) {
		await context.claims.remove(claim);
	}

	return outcome;
}

/** Runs the request on one endpoint; goes to another one only when the former certainly did not run it. */
async function runOnce(request: CallerRequest, context: RequestContext): Promise<Result<StoredOutcome, Failure>> {
	const {service, workClass} = request.match;
	const budget = context.getRetryBudget(service.name);
	const fingerprint = hashRequest(request);
	const excluded: string[] = [];
	budget.add();
	for (;;) {
		const slot = await context.slots.acquire({
			service: service.name, workClass: workClass.name, kind: workClass.kind, remainingMilliseconds: request.deadline - context.clock(), fingerprint, excluded, isImmediate: false,
		}, request.signal);
		if (slot.isErr()) {
			return err(slot.error);
		}

		const grant = slot.value;
		if (!grant.isUsable()) {
			grant.release({outcome: AttemptOutcome.unused, milliseconds: 0, isDraining: false});
			continue;
		}

		// The caller's disconnection does not cancel the attempt: its outcome must be stored for the resend.
		const attempt = await sendGranted({...request, signal: new AbortController().signal}, grant, context, maximumSilenceMilliseconds);
		if (attempt.isErr()) {
			if (!notRunOutcomes.has(attempt.error.outcome)) {
				return err(createFailure('outcome-unknown'));
			}

			if (!budget.take()) {
				return err(attempt.error.failure);
			}

			excluded.push(grant.endpointId);
			continue;
		}

		return collectOutcome(attempt.value);
	}
}

async function collectOutcome({status, headers, body, contentLength}: EndpointResponse): Promise<Result<StoredOutcome, Failure>> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}
	} catch {
		return err(createFailure('outcome-unknown'));
	}

	const whole = Buffer.concat(chunks);
	if (contentLength !== undefined && whole.length !== contentLength) {
		return err(createFailure('outcome-unknown'));
	}

	return ok({status, headers: stripHopByHop(headers), body: whole});
}

function respond(outcome: Result<StoredOutcome, Failure>, res: ServerResponse): Result<number, Failure> {
	return outcome.map(({status, headers, body}) => {
		res.writeHead(status, {...headers, 'content-length': body.length});
		res.end(body);
		return status;
	});
}
