import {z} from 'zod';

const addressSchema = z.string().default('127.0.0.1').meta({description: 'IP address to listen on'});
const portSchema = z.int().min(0).max(65_535).meta({description: 'TCP port; 0 picks a free one', unit: 'port'});
const listenSchema = z.strictObject({address: addressSchema, port: portSchema});
const certificateFile = z.string().min(1).meta({description: 'PEM file with the certificate and its chain; read again when it changes', unit: 'path'});
const keyFile = z.string().min(1).meta({description: 'PEM file with the private key; read again when it changes', unit: 'path'});

function createKeysSchema(owner: string) {
	return z.array(z.string().min(16)).min(1).max(2).meta({
		description: `Keys of ${owner}; each is valid, so that a new one can be added on all hosts before the former one is removed. The first is sent by this host`, unit: 'secret text',
	});
}

const millisecondsSchema = z.int().min(0);
const bytesSchema = z.int().min(1024);

/** Schema of the settings file; docs/settings.md is written from it. */
export const settingsSchema = z.strictObject({
	host: z.strictObject({
		id: z.string().min(1).meta({description: 'Id of this host, as in the host list'}),
		failureDomain: z.string().min(1).meta({description: 'Failure domain in which this host runs'}),
	}),
	listen: z.strictObject({
		callers: listenSchema.extend({tls: z.strictObject({certificateFile, keyFile}).optional().meta({description: 'Serves callers over TLS'})}),
		peers: listenSchema.extend({
			tls: z.strictObject({
				certificateFile,
				keyFile,
				authorityFile: z.string().min(1).meta({description: 'PEM file with the certificate authorities of peers', unit: 'path'}),
			}).optional().meta({description: 'Serves peers over TLS, and connects to them over TLS; the same on all hosts'}),
		}),
		admin: listenSchema,
	}),
	keys: z.strictObject({
		peers: createKeysSchema('peers'),
		admin: createKeysSchema('operators'),
	}),
	limits: z.strictObject({
		headerBytes: bytesSchema.default(16_384).meta({description: 'Largest size of all request headers', unit: 'bytes'}),
		bodyBytes: bytesSchema.default(1_048_576).meta({description: 'Largest request body', unit: 'bytes'}),
		headersMilliseconds: z.int().min(100).default(5000).meta({description: 'Time in which the headers of a request must arrive', unit: 'ms'}),
		requestMilliseconds: z.int().min(100).default(30_000).meta({description: 'Time in which a whole request must arrive', unit: 'ms'}),
		connections: z.int().min(1).default(10_000).meta({description: 'Open connections of callers', unit: 'connections'}),
		pipelinedRequests: z.int().min(1).default(16).meta({description: 'Requests in progress on one connection of a caller', unit: 'requests'}),
	}).prefault({}),
	platform: z.strictObject({
		hostList: z.strictObject({url: z.url().meta({description: 'Host list in the HTTP service discovery format of Prometheus'})}),
		table: z.strictObject({
			url: z.url().meta({description: 'Table service (DynamoDB protocol)'}),
			name: z.string().default('tanagerrail').meta({description: 'Name of the table'}),
		}).optional().meta({description: 'Table service; without it, non-idempotent work with a key is refused'}),
		objects: z.strictObject({
			url: z.url().meta({description: 'Object store (S3 protocol)'}),
			bucket: z.string().default('tanagerrail').meta({description: 'Name of the bucket'}),
		}).optional().meta({description: 'Object store; without it, service-level counts end with the process'}),
		credentials: z.strictObject({
			accessKeyId: z.string().min(1).meta({description: 'Id of the access key'}),
			secretAccessKey: z.string().min(1).meta({description: 'Secret of the access key', unit: 'secret text'}),
		}).optional().meta({description: 'Sign the calls to the table service and the object store'}),
	}),
	metrics: z.strictObject({
		address: z.string().optional().meta({description: 'IP address of a StatsD server; without it no metrics are sent'}),
		port: z.int().min(1).max(65_535).default(8125).meta({description: 'UDP port of the StatsD server', unit: 'port'}),
	}).prefault({}),
	log: z.strictObject({
		filter: z.string().default('tanagerrail:*:info,tanagerrail:*:warn,tanagerrail:*:error')
			.meta({description: 'Namespaces that are logged, as tanagerrail:COMPONENT:LEVEL with * as wildcard; SIGHUP reads this field again'}),
	}).prefault({}),
	shutdown: z.strictObject({
		lameDuckMilliseconds: millisecondsSchema.default(2000).meta({description: 'Time for which a stopping host still accepts requests while the platform\'s balancer notices', unit: 'ms'}),
		shutdownMilliseconds: millisecondsSchema.default(600_000)
			.meta({description: 'Bound on the whole shutdown; at least the longest duration of any work class', unit: 'ms'}),
	}).prefault({}),
	initialConfigurationFile: z.string().optional().meta({description: 'JSON file with the configuration that is used until the table holds a revision', unit: 'path'}),
});

/** Settings of one host. */
export type Settings = z.output<typeof settingsSchema>;
