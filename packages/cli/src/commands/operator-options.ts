import fs from 'node:fs';
import os from 'node:os';
import process from 'node:process';
import type {Command} from 'cac';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';

/** Environment variable that contains the admin key when `--key-file` is not given. */
export const keyVariable = 'TANAGERRAIL_ADMIN_KEY';

/** Value of an option; the command-line library converts digits to a number. */
export type OptionValue = string | number;

/** Options of the commands that send calls to a host, as parsed from the command line. */
export type OperatorOptions = {
	readonly admin?: OptionValue;
	readonly keyFile?: OptionValue;
	readonly json?: boolean;
};

/** Options of the commands that change the configuration. */
export type DecisionOptions = OperatorOptions & {
	readonly by?: OptionValue;
	readonly note?: OptionValue;
	readonly base?: OptionValue;
	readonly approve?: OptionValue;
};

/** Destination and credentials of operator calls. */
export type OperatorTarget = {
	/** Admin addresses (`ip:port`), tried in order. */
	readonly addresses: readonly string[];
	readonly key: string;
};

/**
 * Adds the options of commands that send calls to a host.
 *
 * @param command - The command.
 * @returns The same command.
 */
export function addOperatorOptions(command: Command): Command {
	return command
		.option('--admin <addresses>', 'Admin addresses (ip:port) of hosts, separated by commas and tried in order')
		.option('--key-file <file>', `File with the admin key; by default the environment variable ${keyVariable}`)
		.option('--json', 'Print one JSON object');
}

/**
 * Adds the options of commands that change the configuration.
 *
 * @param command - The command.
 * @returns The same command.
 */
export function addDecisionOptions(command: Command): Command {
	return addOperatorOptions(command)
		.option('--by <name>', 'Author of the change; by default the name of the user')
		.option('--note <text>', 'Reason for the change, stored in the history')
		.option('--base <revision>', 'Fail unless this revision is current')
		.option('--approve <kinds>', 'Kinds of changes to approve, separated by commas');
}

/**
 * Reads the destination and the key of operator calls from the options.
 *
 * @param options - Options of the command line.
 * @returns The target; failures `usage-invalid` and `settings-unreadable`.
 */
export function readTarget({admin, keyFile}: OperatorOptions): Result<OperatorTarget, Failure> {
	const addresses = splitList(admin);
	if (addresses.length === 0) {
		return err(createFailure('usage-invalid', {reason: '--admin is missing'}));
	}

	if (keyFile === undefined) {
		const key = process.env[keyVariable];
		return key ? ok({addresses, key}) : err(createFailure('usage-invalid', {reason: `neither --key-file nor ${keyVariable} is given`}));
	}

	return readText(String(keyFile)).map(text => ({addresses, key: text.trim()}));
}

/**
 * Reads author, note, base revision and approvals from the options.
 *
 * @param options - Options of the command line.
 * @returns Author, note, base revision and approved kinds; failure `usage-invalid`.
 */
export function readDecision({by, note, base, approve}: DecisionOptions): Result<{by: string; note: string; base: number | undefined; approve: string[]}, Failure> {
	if (base !== undefined && !(Number.isInteger(base) && Number(base) >= 0)) {
		return err(createFailure('usage-invalid', {reason: '--base is not a revision number'}));
	}

	return ok({
		by: by === undefined ? os.userInfo().username : String(by), note: note === undefined ? '' : String(note), base: base as number | undefined, approve: splitList(approve),
	});
}

/**
 * Reads a text file.
 *
 * @param file - Path of the file.
 * @returns Its contents; failure `settings-unreadable`.
 */
export function readText(file: string): Result<string, Failure> {
	try {
		return ok(fs.readFileSync(file, 'utf8'));
	} catch (error) {
		return err(createFailure('settings-unreadable', {file, reason: (error as NodeJS.ErrnoException).code ?? 'unknown error'}));
	}
}

function splitList(value: OptionValue | undefined): string[] {
	return value === undefined ? [] : String(value).split(',').map(part => part.trim()).filter(Boolean);
}
