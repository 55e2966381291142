import fs from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import * as z from 'zod';
import {createFailure, type Failure} from '@tanagerrail/results';

const addressSchema = z.string().regex(/^[\d.]+:\d+$/v).meta({description: '`ip:port`'});
const millisecondsSchema = z.int().min(0);

/** Schema of the settings file of an edge host; unknown fields are ignored. */
export const edgeSettingsSchema = z.object({
	host: z.object({
		id: z.string().min(1).meta({description: 'Id of this host'}),
		failureDomain: z.string().min(1).meta({description: 'Failure domain in which this host runs'}),
		isFirstStart: z.boolean().default(false).meta({description: 'Whether the whole system starts for the first time'}),
		cores: z.number().min(0).default(1).meta({description: 'Processor cores that this host may use; the host with most cores in a failure domain reads the store for the others', unit: 'cores'}),
		memoryMegabytes: z.number().min(64).default(256).meta({description: 'Memory that this host may use; request bodies take at most three tenths of it', unit: 'MB'}),
	}),
	seeds: z.array(addressSchema).default([]).meta({description: 'Peer addresses of hosts from which this host discovers the others; some may be out of date'}),
	listen: z.object({
		callers: addressSchema.meta({description: 'Address to which callers connect'}),
		readiness: addressSchema.meta({description: 'Address on which the platform checks whether the host accepts new connections'}),
		metrics: addressSchema.meta({description: 'Address on which counters and histograms are served'}),
		peers: addressSchema.meta({description: 'Address on which other hosts request the configuration, the endpoints and the list of hosts'}),
	}),
	readinessPath: z.string().startsWith('/').meta({description: 'Path of the readiness check'}),
	store: z.object({
		address: addressSchema.meta({description: 'Address of the platform\'s store'}),
	}),
	bounds: z.object({
		retryRatio: z.number().min(0).meta({description: 'Retries permitted per request of a service, summed over all hosts'}),
		retrySlack: z.number().min(0).meta({description: 'Retries permitted per window in addition to `retryRatio`, summed over all hosts'}),
		retryWindowSeconds: z.number().min(0).meta({description: 'Length of the sliding window of the retry budget', unit: 's'}),
		shutdownSeconds: z.number().min(1).meta({description: 'Time between SIGTERM and the end of the process', unit: 's'}),
		drainMilliseconds: millisecondsSchema.meta({description: 'Time after which a leaving endpoint must not get any more requests', unit: 'ms'}),
		probesPerSecond: z.number().min(0).meta({description: 'Maximum number of probes per second and endpoint, summed over all hosts'}),
	}),
	log: z.object({
		filter: z.string().default('tanagerrail:*:info,tanagerrail:*:warn,tanagerrail:*:error').meta({description: 'Namespaces to log, in the syntax of the `debug` library'}),
		linesPerSecond: z.int().min(1).default(500).meta({description: 'Maximum number of log lines per second; failures have an additional limit of the same size', unit: 'lines/s'}),
	}).prefault({}),
});

/** Settings of an edge host. */
export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;

/**
 * Loads and validates the settings of an edge host.
 *
 * @param file - Path of the YAML file.
 * @returns The settings, or all failures: `settings-unreadable` or `settings-invalid`.
 */
export function loadEdgeSettings(file: string): Result<EdgeSettings, Failure[]> {
	return readText(file).andThen(text => parseEdgeSettings(file, text));
}

/**
 * Parses and validates the text of a settings file.
 *
 * @param file - Path of the file, used in messages.
 * @param text - Contents of the file as YAML.
 * @returns The settings, or all failures: `settings-invalid`.
 */
export function parseEdgeSettings(file: string, text: string): Result<EdgeSettings, Failure[]> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	if (document.errors.length > 0) {
		return err(document.errors.map(({pos, code}) => createFailure('settings-invalid', {
			file, line: lines.linePos(pos[0]).line, field: 'document', found: code.toLowerCase().replaceAll('_', ' '), expected: 'valid YAML',
		})));
	}

	const parsed = edgeSettingsSchema.safeParse(document.toJS());
	if (parsed.success) {
		return ok(parsed.data);
	}

	return err(parsed.error.issues.map(({path, message}) => {
		const node = document.getIn(path, true) as {range?: [number]} | undefined;
		return createFailure('settings-invalid', {
			file, line: node?.range ? lines.linePos(node.range[0]).line : 1, field: path.join('.'), found: node ? 'an invalid value' : 'nothing', expected: message,
		});
	}));
}

function readText(file: string): Result<string, Failure[]> {
	try {
		return ok(fs.readFileSync(file, 'utf8'));
	} catch (error) {
		return err([createFailure('settings-unreadable', {file, reason: (error as NodeJS.ErrnoException).code ?? 'unknown'})]);
	}
}
