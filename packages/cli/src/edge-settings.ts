import fs from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import * as z from 'zod';
import {createFailure, type Failure} from '@tanagerrail/results';

const addressSchema = z.string().regex(/^[\d.]+:\d+$/v).meta({description: '`ip:port`'});
const millisecondsSchema = z.int().min(0);

/** Schema of the settings of an edge host. */
export const edgeSettingsSchema = z.object({
	host: z.object({
		id: z.string().min(1).meta({description: 'Name of this host'}),
		failureDomain: z.string().min(1).meta({description: 'Failure domain in which this host runs'}),
		isFirstStart: z.boolean().default(false).meta({description: 'Whether the whole system starts for the first time'}),
		cores: z.number().min(0).default(1).meta({description: 'Processor cores that this host may use; the largest host of a failure domain reads the store for the others', unit: 'cores'}),
	}),
	seeds: z.array(addressSchema).default([]).meta({description: 'Peer addresses of hosts that know the others; they may be out of date'}),
	listen: z.object({
		callers: addressSchema.meta({description: 'Where callers connect'}),
		readiness: addressSchema.meta({description: 'Where the platform asks whether the host takes new connections'}),
		metrics: addressSchema.meta({description: 'Where counters and histograms are served'}),
		peers: addressSchema.meta({description: 'Where other hosts ask for the state of the platform'}),
	}),
	readinessPath: z.string().startsWith('/').meta({description: 'Path of the readiness request'}),
	store: z.object({
		address: addressSchema.meta({description: 'The store of the platform'}),
	}),
	bounds: z.object({
		retryRatio: z.number().min(0).meta({description: 'Attempts beyond the first for each request of a service, summed over all hosts'}),
		retrySlack: z.number().min(0).meta({description: 'Attempts beyond the first in a window besides, summed over all hosts'}),
		retryWindowSeconds: z.number().min(0).meta({description: 'Length of the sliding window of the retry budget', unit: 's'}),
		shutdownSeconds: z.number().min(1).meta({description: 'Time between the signal to stop and the end of the process', unit: 's'}),
		drainMilliseconds: millisecondsSchema.meta({description: 'Time after which a leaving endpoint gets no request', unit: 'ms'}),
		probesPerSecond: z.number().min(0).meta({description: 'Probes a second for each endpoint, from all hosts together'}),
	}),
	log: z.object({
		filter: z.string().default('tanagerrail:*:info,tanagerrail:*:warn,tanagerrail:*:error').meta({description: 'Filter of the `debug` library'}),
		linesPerSecond: z.int().min(1).default(500).meta({description: 'Log lines a second; failures may use as many again', unit: 'lines/s'}),
	}).prefault({}),
});

/** Settings of an edge host. */
export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;

/**
 * Loads and checks the settings of an edge host.
 *
 * @param file - Path of the YAML file.
 * @returns The settings, or all mistakes: `settings-unreadable` or `settings-invalid`.
 */
export function loadEdgeSettings(file: string): Result<EdgeSettings, Failure[]> {
	return readText(file).andThen(text => parseEdgeSettings(file, text));
}

/**
 * Checks the text of a settings file.
 *
 * @param file - Path of the file, for messages.
 * @param text - Its contents, YAML.
 * @returns The settings, or all mistakes: `settings-invalid`.
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
			file, line: node?.range ? lines.linePos(node.range[0]).line : 1, field: path.join('.'), found: node ? 'another value' : 'nothing', expected: message,
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
