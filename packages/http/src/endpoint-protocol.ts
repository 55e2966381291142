import type {IncomingHttpHeaders} from 'node:http';
import type {DirectoryEndpoint, EndpointNotice, EndpointReport} from '@tanagerrail/routing';
import type {HeaderFields} from './forwarded-headers.js';

/** Information from the headers of an endpoint's response. */
export type ResponseMetadata = {
	/** Id of the request that the response belongs to, if the endpoint echoes it. */
	readonly requestId: string | undefined;
	/** Whether the endpoint guarantees that it has not run the request and never will. */
	readonly isNotRun: boolean;
	/** Whether the response comes from the endpoint itself and was not altered on the way. */
	readonly isGenuine: boolean;
	readonly report: EndpointReport | undefined;
	readonly notice: EndpointNotice;
};

/** Information from the headers of a probe response. */
export type ProbeMetadata = {
	/** Whether the endpoint accepts new requests. */
	readonly isHealthy: boolean;
	/** Id of the endpoint that responded. */
	readonly endpointId: string | undefined;
	/** Id of an earlier request, if the response belongs to that request instead of the probe. */
	readonly requestId: string | undefined;
	readonly report: EndpointReport | undefined;
	readonly notice: EndpointNotice;
};

/** A request that is about to be sent to an endpoint. */
export type OutgoingRequest = {
	/** Id of the caller's attempt. */
	readonly id: string;
	/** Headers of the caller without the hop-by-hop ones. */
	readonly headers: HeaderFields;
	readonly endpoint: DirectoryEndpoint;
	/** Remaining time to wait for the response, in milliseconds. */
	readonly remainingMilliseconds: number;
};

/** Encodes and decodes the headers of requests to endpoints, their responses and probe responses. */
export type EndpointProtocol = {
	buildHeaders(request: OutgoingRequest): HeaderFields;
	readResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
	readProbe(status: number, headers: IncomingHttpHeaders): ProbeMetadata;
};

/** Decodes the headers of callers' requests. */
export type CallerProtocol = {
	/** Reads the id of the caller's attempt and how long the caller waits for the response, in milliseconds. */
	readRequest(headers: IncomingHttpHeaders): {readonly id: string | undefined; readonly waitMilliseconds: number | undefined};
};
