import process from 'node:process';
import {NodeHttpHandler} from '@smithy/node-http-handler';

/** Credentials with which calls are signed. */
export type ServiceCredentials = {readonly accessKeyId: string; readonly secretAccessKey: string};

/** Options of a client of the platform's table service or object store. */
export type ServiceClientOptions = {
	/** URL of the service. */
	readonly url: string;
	readonly region: string;
	/**
	 * Credentials of the calls. The default credential provider chain of the SDK is not used, because it may spawn a process
	 * or call a metadata service.
	 */
	readonly credentials: ServiceCredentials;
	/** Timeout for opening a connection, in milliseconds. */
	readonly connectMilliseconds: number;
	/** Timeout of a whole call, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Maximum number of open connections. */
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

// The SDK prints a plain-text warning about its supported Node.js versions; standard error must contain only JSON lines.
process.env.AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED ??= 'true';

/**
 * Builds the SDK client configuration. The SDK does not retry: only its caller can decide whether a write with an unknown
 * result may be repeated.
 *
 * @param options - Address, credentials, timeouts and connection limit.
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
