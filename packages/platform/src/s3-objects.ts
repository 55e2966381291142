import {
	DeleteObjectCommand, GetObjectCommand, ListObjectsV2Command, PutObjectCommand, S3Client,
} from '@aws-sdk/client-s3';
import {ResultAsync} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {ObjectStore} from './object-store.js';
import {buildClientConfiguration, defaultServiceClientOptions, type ServiceClientOptions} from './service-client.js';
import type {ServiceError} from './service-error.js';

/** Options of {@link createS3Objects}. */
export type S3ObjectsOptions = ServiceClientOptions & {readonly bucket: string};

/** Defaults of {@link S3ObjectsOptions}; objects are larger than table items, so the timeout is longer. */
export const defaultS3ObjectsOptions = {...defaultServiceClientOptions, timeoutMilliseconds: 3000, bucket: 'tanagerrail'};

/**
 * Creates an object store client for the S3 REST protocol with path-style URLs. Calls are not retried.
 *
 * @param options - Address, bucket, timeouts and connection limit.
 * @returns The object store.
 */
export function createS3Objects(options: Partial<S3ObjectsOptions> & Pick<S3ObjectsOptions, 'url'>): ObjectStore {
	const {bucket, ...clientOptions} = {...defaultS3ObjectsOptions, ...options};
	const client = new S3Client({...buildClientConfiguration(clientOptions), forcePathStyle: true});
	const createCallOptions = () => ({abortSignal: AbortSignal.timeout(clientOptions.timeoutMilliseconds)});
	const buildObjectParameters = (key: string) => ({Bucket: bucket, Key: key});
	return {
		put: (key, body) => ResultAsync.fromPromise(
			client.send(new PutObjectCommand({...buildObjectParameters(key), Body: body}), createCallOptions()),
			error => convertError(error, key),
		).map(() => undefined),
		get: key => ResultAsync.fromPromise(fetchObject(client, new GetObjectCommand(buildObjectParameters(key)), createCallOptions()), error => convertError(error, key)),
		list: prefix => ResultAsync.fromPromise(listKeys(client, {bucket, prefix, createCallOptions}), error => convertError(error, prefix)),
		delete: key => ResultAsync.fromPromise(client.send(new DeleteObjectCommand(buildObjectParameters(key)), createCallOptions()), error => convertError(error, key)).map(() => undefined),
		close() {
			client.destroy();
		},
	};
}

async function fetchObject(client: S3Client, command: GetObjectCommand, callOptions: {abortSignal: AbortSignal}): Promise<Uint8Array> {
	const {Body: body} = await client.send(command, callOptions);
	return body ? body.transformToByteArray() : new Uint8Array();
}

type ListOptions = {
	readonly bucket: string;
	readonly prefix: string;
	readonly createCallOptions: () => {abortSignal: AbortSignal};
};

async function listKeys(client: S3Client, {bucket, prefix, createCallOptions}: ListOptions): Promise<string[]> {
	const keys: string[] = [];
	let continuationToken: string | undefined;
	do {
		const page = await client.send(new ListObjectsV2Command({Bucket: bucket, Prefix: prefix, ContinuationToken: continuationToken}), createCallOptions());
		keys.push(...(page.Contents ?? []).map(({Key: key}) => key ?? ''));
		continuationToken = page.NextContinuationToken;
	} while (continuationToken !== undefined);

	return keys;
}

function convertError(error: unknown, key: string): Failure {
	const {name} = error as ServiceError;
	return name === 'NoSuchKey' ? createFailure('object-missing', {key}) : createFailure('object-unavailable', {reason: name});
}
