/* eslint-disable unicorn/no-process-exit -- the exit code is the result */

// Runs a case: a time limit, the record, the exit code, and the end of everything that was started.
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Fleet} from './fleet.mjs';

const limitMilliseconds = 115_000;

/** Whether the case plays its disruption; with TROUBLE=0 it does not. */
export const hasTrouble = process.env.TROUBLE !== '0';

export class Record {
	#lines = [];
	#startedAt = performance.now();

	/** Adds one line: the time in seconds, what happened, and its values. */
	add(event, values = {}, at = performance.now()) {
		this.#lines.push([at, event, values]);
	}

	write(file) {
		const lines = this.#lines.sort(([a], [b]) => a - b)
			.map(([at, event, values]) => `${((at - this.#startedAt) / 1000).toFixed(3)} ${event} ${JSON.stringify(values)}`);
		fs.writeFileSync(file, `${lines.join('\n')}\n`);
	}
}

/** Adds all runs of the servers to the record and groups them by the id of the request. */
export function collectRuns(servers, record) {
	const runs = new Map();
	for (const run of servers.flatMap(server => server.runs)) {
		record.add('run', {
			id: run.id, server: run.server, ...(run.isFaulty && {isFaulty: true}), ...(run.isCut && {isCut: true}),
		}, run.startedAt);
		record.add('run ended', {id: run.id, server: run.server}, run.endedAt ?? performance.now());
		runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
	}

	return runs;
}

/** Adds what was sent and what the clients saw to the record. */
export function recordRequests(requests, record) {
	for (const {id, method = 'GET', path: target, edge, sentAt, endedAt, status, failure, isKept} of requests) {
		record.add('sent', {
			id, method, path: target, edge, ...(isKept !== undefined && {isKept}),
		}, sentAt);
		record.add('seen', {
			id, edge, status, failure,
		}, endedAt);
	}
}

/** Counts by a key. */
export function countBy(items, getKey) {
	const counts = {};
	for (const item of items) {
		const key = getKey(item);
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param directory - Folder of the case, in which the record is written.
 * @param play - Plays the case with a fleet and a record; returns how often the rule was broken, and the figures to print.
 */
export async function runCase(directory, play) {
	const fleet = new Fleet();
	const record = new Record();
	const end = code => {
		record.write(path.join(directory, 'record.txt'));
		fleet.stop();
		process.exit(code);
	};

	setTimeout(() => {
		console.error('the case took too long');
		end(2);
	}, limitMilliseconds);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => end(2));
	}

	try {
		const {isBroken, figures} = await play(fleet, record);
		record.add('result', {isBroken, ...figures});
		console.log(JSON.stringify({isBroken, ...figures}, undefined, 1));
		end(isBroken ? 1 : 0);
	} catch (error) {
		console.error(error);
		end(2);
	}
}
