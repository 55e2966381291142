import fs from 'node:fs';
import {test} from 'tap';
import {resultCodes} from '../src/result-codes.js';

const page = fs.readFileSync(new URL('../../../../docs/result-codes.md', import.meta.url), 'utf8');

test('docs/result-codes.md matches the result-code table', async t => {
	const rows = page.split('\n').filter(line => /^\| \d/v.test(line));
	t.equal(rows.length, Object.keys(resultCodes).length);
	for (const [id, {number, status, outcome, message}] of Object.entries(resultCodes)) {
		t.ok(rows.includes(`| ${number} | \`${id}\` | ${status} | \`${outcome}\` | ${message} |`), id);
	}
});

test('the number of each result code is unique', async t => {
	const numbers = Object.values(resultCodes).map(({number}) => number);
	t.equal(new Set(numbers).size, numbers.length);
});
