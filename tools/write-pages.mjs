import fs from 'node:fs';
import {edgeSettingsJsonSchema, formatFieldRow, listSettingsFields} from '../packages/cli/dist/src/settings-fields.js';
import {resultCodes} from '../packages/results/dist/src/index.js';
import {formatMetricRow, metricTable} from '../packages/telemetry/dist/src/index.js';
import {verbs} from './lint/verbs.js';

// Generates the pages of docs/ that are derived from tables in the code. Run it after `npm run build`.
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

fs.writeFileSync('docs/settings.md', `# Settings

Written by \`node tools/write-pages.mjs\` from \`packages/cli/src/settings.ts\`. The file is YAML and is named with \`--settings FILE\`.
A mistake is reported as \`CODE FILE:LINE: FIELD: found VALUE, expected VALUE.\`; all mistakes are reported at once, and nothing starts with an invalid file.
An unknown field is an error that names the nearest known one. Values of keys are never shown.

\`SIGHUP\` reads \`log.filter\` again; \`POST /-/log-filter\` on the admin address with an admin key in the header \`tanagerrail-key\` sets it to the text of the body.
Other fields take effect at the next start. Certificate and key files are read again when they change.

| field | value | unit | default | meaning |
|---|---|---|---|---|
${listSettingsFields().map(field => formatFieldRow(field)).join('\n')}
`);

fs.writeFileSync('docs/edge-settings.md', `# Settings of edge hosts

Settings of \`tanagerrail edge\`, from \`packages/cli/src/edge-settings.ts\`. Fields that are not known are ignored. A change takes effect within a second, but for addresses.

| field | value | unit | default | meaning |
|---|---|---|---|---|
${listSettingsFields(edgeSettingsJsonSchema).map(field => formatFieldRow(field)).join('\n')}
`);

fs.writeFileSync('docs/metrics.md', `# Metrics

Written by \`node tools/write-pages.mjs\` from \`packages/telemetry/src/metric-table.ts\`. Metrics are sent over UDP in the StatsD format with DogStatsD tags
to the address in \`metrics.address\` of the settings, in packets of at most 1,400 bytes every 250 ms. Gauges are sent every 10 s.

| name | kind | unit | tags | meaning |
|---|---|---|---|---|
${Object.keys(metricTable).map(name => formatMetricRow(name)).join('\n')}
`);
