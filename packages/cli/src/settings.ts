import {z} from 'zod';

const addressSchema = z.string().default('127.0.0.1').meta({description: 'IP address to listen on'});
const portSchema = z.int().min(0).max(65_535).meta({description: 'TCP port; 0 selects a free port', unit: 'port'});
const listenSchema = z.strictObject({address: addressSchema, port: portSchema});
const certificateFile = z.string().min(1).meta({description: 'PEM file with the certificate and its chain; reloaded when it changes', unit: 'path'});
const keyFile = z.string().min(1).meta({description: 'PEM file with the private key; reloaded when it changes', unit: 'path'});

function createKeysSchema(owner: string) {
	return z.array(z.string().min(16)).min(1).max(2).meta({
		description: `Keys of ${owner}; all are accepted, so that a new key can be added on all hosts before the old one is removed. This host sends the first`, unit: 'secret text',
	});
}

const millisecondsSchema = z.int().min(0);
const bytesSchema = z.int().min(1024);

/** Schema of the settings file of an entry host; docs/settings.md is generated from it. */
export const settingsSchema = z.strictObject({
	host: z.strictObject({
		id: z.string().min(1).meta({description: 'Id of this host in the host list'}),
		failureDomain: z.string().min(1).meta({description: 'Failure domain in which this host runs'}),
	}),
	listen: z.strictObject({
		callers: listenSchema.extend({tls: z.strictObject({certificateFile, keyFile}).optional().meta({description: 'Serves callers over TLS; without it, they are served over plain HTTP'})}),
		peers: listenSchema.extend({
			tls: z.strictObject({
				certificateFile,
				keyFile,
				authorityFile: z.string().min(1).meta({description: 'PEM file with the certificate authorities that sign the certificates of peers', unit: 'path'}),
			}).optional().meta({description: 'Uses TLS for connections from and to peers; either all hosts use TLS or none does'}),
		}),
		admin: listenSchema,
	}),
	keys: z.strictObject({
		peers: createKeysSchema('peers'),
		admin: createKeysSchema('operators'),
	}),
	limits: z.strictObject({
		headerBytes: bytesSchema.default(16_384).meta({description: 'Maximum total size of the headers of a request', unit: 'bytes'}),
		bodyBytes: bytesSchema.default(1_048_576).meta({description: 'Maximum size of a request body', unit: 'bytes'}),
		headersMilliseconds: z.int().min(100).default(5000).meta({description: 'Time limit for receiving the headers of a request', unit: 'ms'}),
		requestMilliseconds: z.int().min(100).default(30_000).meta({description: 'Time limit for receiving a complete request', unit: 'ms'}),
		connections: z.int().min(1).default(10_000).meta({description: 'Maximum number of open connections from callers', unit: 'connections'}),
		pipelinedRequests: z.int().min(1).default(16).meta({description: 'Maximum number of requests in progress on one connection of a caller', unit: 'requests'}),
	}).prefault({}),
	platform: z.strictObject({
		hostList: z.strictObject({url: z.url().meta({description: 'URL of the host list in the Prometheus HTTP service discovery format'})}),
		table: z.strictObject({
			url: z.url().meta({description: 'URL of the table service (DynamoDB protocol)'}),
			name: z.string().default('tanagerrail').meta({description: 'Name of the table'}),
		}).optional().meta({description: 'Table service; without it, non-idempotent requests with an idempotency key are refused'}),
		objects: z.strictObject({
			url: z.url().meta({description: 'URL of the object store (S3 protocol)'}),
			bucket: z.string().default('tanagerrail').meta({description: 'Name of the bucket'}),
		}).optional().meta({description: 'Object store; without it, service-level counts are lost when the process ends'}),
		credentials: z.strictObject({
			accessKeyId: z.string().min(1).meta({description: 'Access key id'}),
			secretAccessKey: z.string().min(1).meta({description: 'Secret access key', unit: 'secret text'}),
		}).optional().meta({description: 'Credentials that sign the requests to the table service and the object store'}),
	}),
	metrics: z.strictObject({
		address: z.string().optional().meta({description: 'IP address of a StatsD server; without it, no metrics are sent'}),
		port: z.int().min(1).max(65_535).default(8125).meta({description: 'UDP port of the StatsD server', unit: 'port'}),
	}).prefault({}),
	log: z.strictObject({
		filter: z.string().default('tanagerrail:*:info,tanagerrail:*:warn,tanagerrail:*:error')
			.meta({description: 'Namespaces to log, as tanagerrail:COMPONENT:LEVEL with * as wildcard; SIGHUP reloads this field'}),
	}).prefault({}),
	shutdown: z.strictObject({
		lameDuckMilliseconds: millisecondsSchema.default(2000)
			.meta({description: 'Time during which a stopping host still accepts requests, so that the platform\'s load balancer can remove it', unit: 'ms'}),
		shutdownMilliseconds: millisecondsSchema.default(600_000)
			.meta({description: 'Time limit for the whole shutdown; at least the longest duration of any work class', unit: 'ms'}),
	}).prefault({}),
	initialConfigurationFile: z.string().optional().meta({description: 'JSON file with the configuration that is used until the table contains a revision', unit: 'path'}),
});

/** Settings of an entry host. */
export type Settings = z.output<typeof settingsSchema>;
