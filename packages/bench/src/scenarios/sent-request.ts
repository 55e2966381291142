import {createHash} from 'node:crypto';

/** A request that a caller will send. */
export type RequestPlan = {
	/** Name of the group of requests, by which steps and conditions refer to them. */
	readonly group: string;
	readonly method: string;
	readonly target: string;
	readonly body: string;
	readonly key: string | undefined;
	/** Duration of the work at the endpoint in milliseconds. */
	readonly workMilliseconds: number;
	/** Time over which the response body is spread, in milliseconds. */
	readonly bodyMilliseconds: number;
	/** Length of the response body in bytes; `undefined` for a short fixed text. */
	readonly bytes: number | undefined;
	/** Value of `Request-Timeout` in milliseconds. */
	readonly within: number | undefined;
};

/** A sent request with its response or error. */
export type SentRequest = {
	readonly plan: RequestPlan;
	/** Request id; a resend has a different one. */
	readonly id: string;
	/** Id of the entry host that received the request. */
	readonly through: string;
	/** Milliseconds since the epoch. */
	readonly sentAt: number;
	endedAt?: number;
	/** Status of a complete response. */
	status?: number;
	/** Result code and outcome of a refusal. */
	code?: number;
	outcome?: string;
	/** Whether a successful response is complete and belongs to this request; `undefined` for other results. */
	hasExpectedContent?: boolean;
	/** Error code when the connection broke or no complete response arrived. */
	error?: string;
};

/**
 * Computes the hash that an endpoint stand-in returns for a request.
 *
 * @param plan - The request.
 * @returns Hash of method, target and body in hexadecimal.
 */
export function hashPlan({method, target, body}: Pick<RequestPlan, 'method' | 'target' | 'body'>): string {
	return createHash('sha256').update(`${method} ${target}`).update(body).digest('hex');
}

/**
 * Checks that a response belongs to a request and is complete.
 *
 * @param plan - The request.
 * @param requestHash - Header `request-hash` of the response.
 * @param content - The response body.
 * @returns Whether header, length and content match.
 */
export function isExpectedResponse(plan: RequestPlan, requestHash: string | undefined, content: Uint8Array): boolean {
	const hash = hashPlan(plan);
	const expected = plan.bytes === undefined ? Buffer.from('ok') : Buffer.alloc(plan.bytes, hash);
	return requestHash === hash && expected.equals(content);
}
