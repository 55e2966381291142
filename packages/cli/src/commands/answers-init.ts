import fs from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline/promises';
import type {CAC} from 'cac';
import {
	Document, isScalar, visit, type Scalar,
} from 'yaml';
import {createFailure} from '@tanagerrail/results';
import {answersComments} from './answers-comments.js';
import {checkAnswers} from './answers-check.js';
import {askAnswers, defaultAnswers, type DraftAnswers} from './ask-answers.js';
import {printOutcome, type CommandOutcome} from './command-outcome.js';

type InitOptions = {readonly json?: boolean; readonly force?: boolean};

/**
 * Renders answers as a YAML file with comments.
 *
 * @param answers - The answers.
 * @returns The text of the file.
 */
export function renderAnswers(answers: DraftAnswers): string {
	const document = new Document(answers);
	const commented = new Set<string>();
	visit(document, {
		Pair(_key, {key}) {
			if (!isScalar(key) || typeof key.value !== 'string' || commented.has(key.value)) {
				return;
			}

			commented.add(key.value);
			const comment = answersComments[key.value];
			if (comment !== undefined) {
				(key).commentBefore = comment;
			}
		},
	});
	return document.toString({lineWidth: 0});
}

async function initAnswers(file: string, {force = false}: InitOptions): Promise<CommandOutcome> {
	if (fs.existsSync(file) && !force) {
		return {lines: [], data: {file}, failure: createFailure('usage-invalid', {reason: `${file} already exists; use --force to replace it`})};
	}

	try {
		fs.writeFileSync(file, renderAnswers(process.stdin.isTTY ? await askInTerminal() : defaultAnswers));
	} catch (error) {
		if (!(error instanceof EndOfInputError)) {
			throw error;
		}

		return {lines: [], data: {file}, failure: createFailure('usage-invalid', {reason: 'the input ended before all questions were answered'})};
	}

	const checked = checkAnswers(file);
	return {...checked, lines: [`Wrote ${file}.`, ...checked.lines]};
}

/** Thrown when the input ends before all questions have been answered. */
class EndOfInputError extends Error {}

async function askInTerminal(): Promise<DraftAnswers> {
	const terminal = createInterface({input: process.stdin, output: process.stderr});
	try {
		// The iterator queues lines; a line typed before its question is asked would otherwise be lost.
		const lines = terminal[Symbol.asyncIterator]();
		return await askAnswers(async question => {
			process.stderr.write(question);
			const line = await lines.next();
			if (line.done) {
				throw new EndOfInputError();
			}

			return line.value;
		});
	} finally {
		terminal.close();
	}
}

/**
 * Registers `answers init`.
 *
 * @param program - The command line.
 */
export function addInitCommand(program: CAC): void {
	program.command('answers init [file]', 'Write an answers file from the answers to questions; without a terminal, write a template with default values')
		.option('--force', 'Replace an existing file')
		.option('--json', 'Print one JSON object')
		.example('  tanagerrail answers init answers.yaml')
		.action(async (file: string | undefined, options: InitOptions) => {
			printOutcome(await initAnswers(file ?? 'answers.yaml', options), options.json ?? false);
		});
}
