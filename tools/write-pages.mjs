import fs from 'node:fs';
import {resultCodes} from '../packages/results/dist/src/index.js';
import {verbs} from './lint/verbs.js';

/** Writes the parts of docs/ that repeat tables of the code. Run after `npm run build`. */
const rows = Object.entries(resultCodes)
	.map(([id, {number, status, outcome, message}]) =>
		`| ${number} | \`${id}\` | ${status} | \`${outcome}\` | ${message} |`);
fs.writeFileSync('docs/result-codes.md', `# Result codes

Written by \`node tools/write-pages.mjs\` from \`packages/results/src/result-codes.ts\`. Every refusal carries the number as \`code\`
and the outcome as \`outcome\` in its problem details (RFC 9457). The outcome of a code is a default: where more is known about a request, its response says so.

| code | id | HTTP status | outcome | message |
|---|---|---|---|---|
${rows.join('\n')}
`);

const glossary = fs.readFileSync('docs/glossary.md', 'utf8');
const start = glossary.indexOf('<!-- verbs -->');
fs.writeFileSync('docs/glossary.md', `${glossary.slice(0, start)}<!-- verbs -->\n\n${verbs.map(verb => `\`${verb}\``).join(', ')}\n`);
