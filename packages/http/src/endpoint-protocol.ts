import type {IncomingHttpHeaders} from 'node:http';
import type {EndpointReport, DirectoryEndpoint} from '@tanagerrail/routing';
import type {HeaderFields} from './forwarded-headers.js';

/** What the headers of an endpoint's response say. */
export type ResponseMarks = {
	/** Id of the request that the response belongs to, where the endpoint echoes it. */
	readonly requestId: string | undefined;
	/** Whether the endpoint states that it has not run the request and never will. */
	readonly isNotRun: boolean;
	/** Whether the response is the endpoint's own, unchanged. */
	readonly isGenuine: boolean;
	readonly report: EndpointReport | undefined;
};

/** What the answer to a probe says. */
export type ProbeMarks = {
	/** Whether the endpoint takes new work. */
	readonly isHealthy: boolean;
	/** Id of the endpoint that answered. */
	readonly endpointId: string | undefined;
	/** Id of a request, when the answer is a late one to that request. */
	readonly requestId: string | undefined;
	readonly report: EndpointReport | undefined;
};

/** A request that is about to be sent to an endpoint. */
export type OutgoingRequest = {
	/** Id of the caller's attempt. */
	readonly id: string;
	/** Headers of the caller without those of one connection. */
	readonly headers: HeaderFields;
	readonly endpoint: DirectoryEndpoint;
	/** Time after which nobody waits for the response, in milliseconds. */
	readonly remainingMilliseconds: number;
};

/** How endpoints are spoken to. */
export type EndpointProtocol = {
	buildHeaders(request: OutgoingRequest): HeaderFields;
	readResponse(status: number, headers: IncomingHttpHeaders): ResponseMarks;
	readProbe(status: number, headers: IncomingHttpHeaders): ProbeMarks;
};

/** How callers are spoken to. */
export type CallerProtocol = {
	/** Reads the id of the caller's attempt and how long it waits, in milliseconds. */
	readRequest(headers: IncomingHttpHeaders): {readonly id: string | undefined; readonly waitMilliseconds: number | undefined};
};
