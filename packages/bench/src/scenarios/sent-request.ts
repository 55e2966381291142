import {createHash} from 'node:crypto';

/** What a caller sends. */
export type RequestPlan = {
	/** Group of requests by which a scenario names them. */
	readonly group: string;
	readonly method: string;
	readonly target: string;
	readonly body: string;
	readonly key: string | undefined;
	/** Duration of the work at the endpoint in milliseconds. */
	readonly workMilliseconds: number;
	/** Time over which the response body is spread, in milliseconds. */
	readonly bodyMilliseconds: number;
	/** Length of the response body; nothing for a short fixed text. */
	readonly bytes: number | undefined;
	/** Value of `Request-Timeout` in milliseconds. */
	readonly within: number | undefined;
};

/** One sending of a request and what came back. */
export type SentRequest = {
	readonly plan: RequestPlan;
	/** Id of this sending; a resend has another one. */
	readonly id: string;
	/** Entry that received it. */
	readonly through: string;
	/** Milliseconds since the epoch. */
	readonly sentAt: number;
	endedAt?: number;
	/** Status of a complete response. */
	status?: number;
	/** Result code and outcome of a refusal. */
	code?: number;
	outcome?: string;
	/** Whether a complete response of an endpoint has the content that belongs to the request. */
	isOwn?: boolean;
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
 * Checks that a response belongs to a request and is whole.
 *
 * @param plan - The request.
 * @param requestHash - Header `request-hash` of the response.
 * @param content - The response body.
 * @returns Whether header, length and content match.
 */
export function isOwnResponse(plan: RequestPlan, requestHash: string | undefined, content: Uint8Array): boolean {
	const hash = hashPlan(plan);
	const expected = plan.bytes === undefined ? Buffer.from('ok') : Buffer.alloc(plan.bytes, hash);
	return requestHash === hash && expected.equals(content);
}
