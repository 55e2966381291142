import process from 'node:process';
import {NodeHttpHandler} from '@smithy/node-http-handler';

/** Credentials that sign the calls. */
export type ServiceCredentials = {readonly accessKeyId: string; readonly secretAccessKey: string};

/** Options of a client of the platform's table service or object store. */
export type ServiceClientOptions = {
	/** URL of the service. */
	readonly url: string;
	readonly region: string;
	/**
	 * Credentials of the calls. The SDK's own search is not used: it may start a process or call a metadata service.
	 */
	readonly credentials: ServiceCredentials;
	/** Time allowed for opening a connection, in milliseconds. */
	readonly connectMilliseconds: number;
	/** Time allowed for a whole call, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Connections open at the same time. */
	readonly connections: number;
};

/** Defaults of {@link ServiceClientOptions}; services without access control accept any credentials. */
export const defaultServiceClientOptions = {
	region: 'us-east-1',
	credentials: {accessKeyId: 'tanagerrail', secretAccessKey: 'tanagerrail'},
	connectMilliseconds: 250,
	timeoutMilliseconds: 1000,
	connections: 50,
} as const satisfies Partial<ServiceClientOptions>;

// The SDK's notice about later versions of Node.js is not a JSON line, and standard error carries nothing else.
process.env.AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED ??= 'true';

/**
 * Builds the SDK client configuration. Calls are attempted once: only the caller knows whether a write whose effect is
 * unknown may be sent again.
 *
 * @param options - Address, credentials and limits.
 * @returns Configuration of a DynamoDB or S3 client.
 */
export function buildClientConfiguration({url, region, credentials, connectMilliseconds, timeoutMilliseconds, connections}: ServiceClientOptions) {
	return {
		endpoint: url,
		region,
		credentials,
		maxAttempts: 1,
		requestHandler: new NodeHttpHandler({
			connectionTimeout: connectMilliseconds,
			requestTimeout: timeoutMilliseconds,
			throwOnRequestTimeout: true,
			httpAgent: {maxSockets: connections, keepAlive: true},
			httpsAgent: {maxSockets: connections, keepAlive: true},
		}),
	};
}
