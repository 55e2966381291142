import {spawnSync} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';

/** Checks that run before the tests; each counts as one check in the totals. */
const steps = [
	{name: 'type check and build', command: ['npx', '--no-install', 'tsc', '-b']},
	{name: 'formatter, linter and package imports', command: ['npx', '--no-install', 'xo']},
	{name: 'single binary', command: ['node', 'tools/build-binary.mjs']},
];

function runStep({name, command: [program, ...args]}) {
	const started = Date.now();
	const {status} = spawnSync(program, args, {stdio: 'inherit'});
	console.log(`${status === 0 ? 'ok' : 'not ok'} - ${name} (${Date.now() - started} ms)`);
	return status === 0;
}

/**
 * Reads the titles of the tests that are known to fail from KNOWN-RED.txt: entries separated by blank lines, with lines
 * `test: FILE > NAME`.
 */
function readKnownRed() {
	if (!fs.existsSync('KNOWN-RED.txt')) {
		return [];
	}

	return [...fs.readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (.+)$/gm)].map(match => match[1].trim());
}

/** Maximum number of lines of diagnostics that are printed for each failed assertion. */
const maximumDiagnosticLines = 20;

/** Reads the diagnostics of a failed assertion: the lines between `---` and `...` that follow it. */
function readDiagnostics(lines, index) {
	if (lines[index + 1]?.trim() !== '---') {
		return [];
	}

	const end = lines.findIndex((line, position) => position > index && line.trim() === '...');
	return lines.slice(index + 2, end).slice(0, maximumDiagnosticLines);
}

/** Runs all test files and counts the assertions in their TAP output. */
function runTests() {
	const {status, stdout} = spawnSync('npx', ['--no-install', 'tap', '--reporter=tap'], {
		encoding: 'utf8', maxBuffer: 512 * 1024 * 1024, stdio: ['ignore', 'pipe', 'inherit'],
	});
	const knownRed = new Set(readKnownRed());
	const stack = [];
	const totals = {
		passed: 0, failed: 0, skipped: 0, knownRed: 0,
	};
	const failures = [];
	const lines = stdout.split('\n');
	for (const [index, line] of lines.entries()) {
		const subtest = /^(\s*)# Subtest: (.+)$/.exec(line);
		if (subtest) {
			stack[subtest[1].length / 4] = subtest[2];
			stack.length = (subtest[1].length / 4) + 1;
			continue;
		}

		const point = /^(\s*)(not ok|ok) \d+(?: - (.*?))?(?: # (time=.*|SKIP.*|TODO.*))?(?: {)?$/.exec(line);
		if (!point) {
			continue;
		}

		const depth = point[1].length / 4;
		const title = [...stack.slice(0, depth), point[3] ?? ''].join(' > ');
		const isSummary = stack.length > depth + 1 || stack[depth] === point[3];
		stack.length = Math.min(stack.length, depth + 1);
		if (point[2] === 'ok') {
			totals.passed += isSummary ? 0 : 1;
			totals.skipped += /SKIP|TODO/.test(point[4] ?? '') ? 1 : 0;
			continue;
		}

		const known = [...knownRed].find(entry => title === entry || title.startsWith(`${entry} > `) || entry.startsWith(`${title} > `));
		if (known) {
			totals.knownRed += isSummary ? 0 : 1;
			console.log(`known red, see KNOWN-RED.txt: ${title}`);
			continue;
		}

		totals.failed += 1;
		failures.push([`not ok - ${title}`, ...isSummary ? [] : readDiagnostics(lines, index)]);
	}

	for (const failure of failures) {
		console.log(failure.join('\n'));
	}

	if (failures.length > 0 || (status !== 0 && totals.knownRed === 0)) {
		fs.mkdirSync('build', {recursive: true});
		fs.writeFileSync('build/tests.tap.log', stdout);
		console.log('the full output of the tests is in build/tests.tap.log');
	}

	if (status !== 0 && totals.failed === 0 && totals.knownRed === 0) {
		totals.failed = 1;
	}

	return totals;
}

const totals = {
	passed: 0, failed: 0, skipped: 0, knownRed: 0,
};
for (const step of steps) {
	totals[runStep(step) ? 'passed' : 'failed'] += 1;
}

const testTotals = runTests();
for (const key of Object.keys(totals)) {
	totals[key] += testTotals[key];
}

if (totals.knownRed > 0) {
	console.log(`known red: ${totals.knownRed}`);
}

console.log(`${totals.passed} passed, ${totals.failed} failed${totals.skipped > 0 ? `, ${totals.skipped} skipped` : ''}`);
process.exit(totals.failed === 0 && totals.passed > 0 ? 0 : 1);
