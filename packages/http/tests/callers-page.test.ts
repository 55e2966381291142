import fs from 'node:fs';
import {test} from 'tap';
import {resultCodes} from '@tanagerrail/results';

/** First number of the result codes that callers never get: configuration, platform, settings, peers, invariants. */
const firstInternalCode = 5000;

test('docs/callers.md lists every result code that a caller can get', async t => {
	const page = fs.readFileSync(new URL('../../../../docs/callers.md', import.meta.url), 'utf8');
	const rows = page.split('\n').filter(line => /^\| \d/v.test(line)).map(line => line.split('|').slice(1, 4).map(cell => cell.trim()));
	t.same(rows, Object.entries(resultCodes)
		.filter(([, {number}]) => number < firstInternalCode)
		.map(([id, {number, status}]) => [String(number), `\`${id}\``, String(status)]));
});
