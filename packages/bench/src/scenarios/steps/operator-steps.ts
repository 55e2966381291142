import fs from 'node:fs';
import path from 'node:path';
import {z} from 'zod';
import {ManagedProcess, testbedKey} from '../../testbed/index.js';
import type {ScenarioWorld} from '../scenario-world.js';
import {getEntry} from './find-process.js';
import {createStep} from './step-handler.js';

const mainScript = path.resolve(import.meta.dirname, '../../../../../cli/dist/src/main.js');
const rootDirectory = path.resolve(import.meta.dirname, '../../../../../..');

const applySchema = z.strictObject({
	as: z.string(),
	/** Path below the root of the repository. */
	answers: z.string(),
	/** Text to replace in the answers, and its replacement. */
	replace: z.tuple([z.string(), z.string()]).optional(),
	through: z.string(),
	by: z.string().default('operator'),
	/** Revision on which the change is based. */
	base: z.int().optional(),
	approve: z.string().optional(),
	wait: z.boolean().default(true),
});

/** Steps that run commands of the operator. */
export const operatorSteps = {
	/** Runs `tanagerrail answers apply`; the condition `applied` checks its exit code and output. */
	apply: createStep(applySchema, async (input, world) => {
		const applied = runApply(input, world);
		world.track(applied);
		if (input.wait) {
			await applied;
		}
	}),
} as const;

async function runApply({as, answers, replace: [text, replacement] = ['', ''], through, by, base, approve}: z.output<typeof applySchema>, {fleet, applied}: ScenarioWorld): Promise<void> {
	const file = path.join(fleet.directory, `${as}.answers.yaml`);
	const keyFile = path.join(fleet.directory, `${as}.key`);
	fs.writeFileSync(file, fs.readFileSync(path.join(rootDirectory, answers), 'utf8').replace(text, replacement));
	fs.writeFileSync(keyFile, testbedKey);
	const options = Object.entries({by, base, approve}).filter(([, value]) => value !== undefined).flatMap(([name, value]) => [`--${name}`, String(value)]);
	const child = new ManagedProcess({
		name: as,
		args: [mainScript, 'answers', 'apply', file, '--admin', getEntry(fleet, through).adminAddress, '--key-file', keyFile, '--json', ...options],
		logFile: path.join(fleet.directory, `${as}.operator.log`),
	});
	let output = '';
	for await (const chunk of child.output) {
		output += chunk;
	}

	await child.waitForExit();
	applied.set(as, {exitCode: child.exitCode ?? 1, output});
}
