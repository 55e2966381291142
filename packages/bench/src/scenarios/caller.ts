import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import {
	bodyDurationHeader, durationHeader, lengthHeader, requestIdHeader,
} from '@tanagerrail/stand-ins';
import {isExpectedResponse, type RequestPlan, type SentRequest} from './sent-request.js';

/** HTTP client that sends requests to entry hosts and records the responses. */
export class Caller {
	readonly sent: SentRequest[] = [];
	readonly #agent = new Agent({connections: 128, connect: {timeout: 1000}});
	readonly #timeoutMilliseconds: number;

	/**
	 * @param timeoutMilliseconds - Time after which a request without a response is aborted.
	 */
	constructor(timeoutMilliseconds = 20_000) {
		this.#timeoutMilliseconds = timeoutMilliseconds;
	}

	/**
	 * Sends a request and waits until it has ended.
	 *
	 * @param plan - The request.
	 * @param through - Id and address (`ip:port`) of the entry host.
	 * @returns The request with its response or error; the promise never rejects.
	 */
	async send(plan: RequestPlan, through: {readonly id: string; readonly address: string}): Promise<SentRequest> {
		const sent: SentRequest = {
			plan, id: randomUUID(), through: through.id, sentAt: Date.now(),
		};
		this.sent.push(sent);
		try {
			await this.#receive(sent, through.address);
		} catch (error) {
			sent.error = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
		}

		sent.endedAt = Date.now();
		return sent;
	}

	/** Closes all connections immediately. */
	async stop(): Promise<void> {
		await this.#agent.destroy();
	}

	async #receive(sent: SentRequest, address: string): Promise<void> {
		const {plan} = sent;
		const {statusCode, headers, body} = await request(`http://${address}${plan.target}`, {
			method: plan.method as 'GET',
			body: plan.body === '' ? undefined : plan.body,
			headers: buildHeaders(sent),
			dispatcher: this.#agent,
			signal: AbortSignal.timeout(this.#timeoutMilliseconds),
		});
		const content = new Uint8Array(await body.arrayBuffer());
		sent.status = statusCode;
		if (statusCode < 300) {
			sent.hasExpectedContent = isExpectedResponse(plan, headers['request-hash'] as string | undefined, content);
			return;
		}

		sent.outcome = headers['tanagerrail-outcome'] as string | undefined;
		if (headers['content-type'] === 'application/problem+json') {
			sent.code = (JSON.parse(Buffer.from(content).toString()) as {code: number}).code;
		}
	}
}

function buildHeaders({plan, id}: SentRequest): Record<string, string> {
	const optionalHeaders = {
		'idempotency-key': plan.key, 'request-timeout': plan.within, [lengthHeader]: plan.bytes,
	};
	return {
		[requestIdHeader]: id,
		[durationHeader]: String(plan.workMilliseconds),
		[bodyDurationHeader]: String(plan.bodyMilliseconds),
		...Object.fromEntries(Object.entries(optionalHeaders).filter(([, value]) => value !== undefined).map(([name, value]) => [name, String(value)])),
	};
}
