import fs from 'node:fs';
import path from 'node:path';
import {test} from 'tap';
import {formatFailure, resultCodes} from '@tanagerrail/results';
import {loadSettings} from '../src/load-settings.js';
import {formatFieldRow, listSettingsFields} from '../src/settings-fields.js';

const valid = `host: {id: entry-1, failureDomain: a}
listen:
  callers: {port: 8080}
  peers: {port: 0}
  admin: {port: 0}
keys:
  peers: [peer-key-0123456789]
  admin: [admin-key-0123456789, admin-key-9876543210]
platform:
  hostList: {url: http://127.0.0.1:9/hosts}
`;

test('loadSettings reports all invalid fields at once with line, field, found and expected value, without secrets', async t => {
	const directory = t.testdir({
		'long.json': JSON.stringify({services: [{workClasses: [{longestMilliseconds: 90_000}]}]}),
		'broken.json': '{',
	});
	const cases: Array<[string, string, string[]]> = [
		['valid', valid, []],
		['wrong type and unknown field', valid.replace('port: 8080', 'port: high, prot: 1'), [
			'7001 FILE:3: listen.callers.port: found "high", expected an integer from 0 to 65535.',
			'7003 FILE:3: listen.callers.prot is not a known field; the nearest is port.',
		]],
		['short key, three keys', valid.replace('peer-key-0123456789', 'sesame').replace('admin: [', 'admin: [third-key-0123456789, '), [
			'7001 FILE:7: keys.peers.0: found a string of 6 characters, expected a string of at least 16 characters.',
			'7001 FILE:8: keys.admin: found a value of another type, expected a list of 1 to 2 items, each a string of at least 16 characters.',
		]],
		['missing section', valid.replace(/platform:[\s\S]*/v, ''), ['7001 FILE:1: platform: found nothing, expected a section with hostList, table, objects, credentials.']],
		['unknown section', `${valid}shutdwn: {}\n`, ['7003 FILE:11: shutdwn is not a known field; the nearest is shutdown.']],
		['secret of the wrong type', `${valid}  credentials: {accessKeyId: a, secretAccessKey: 271828}\n`, [
			'7001 FILE:11: platform.credentials.secretAccessKey: found a value of another type, expected a string of at least 1 character.',
		]],
		['not YAML', `${valid}  bad: [`, ['7001 FILE:11: document: found bad indent, expected valid YAML.']],
		['empty', '', ['7001 FILE:1: document: found null, expected a section with host, listen, keys, limits, platform, metrics, log, shutdown, initialConfigurationFile.']],
		['shutdown shorter than work', `${valid}initialConfigurationFile: ${directory}/long.json\nshutdown:\n  shutdownMilliseconds: 89999\n`, [
			'7001 FILE:13: shutdown.shutdownMilliseconds: found 89999, expected at least 90000, the longest duration of any work class.',
		]],
		['broken configuration', `${valid}initialConfigurationFile: ${directory}/broken.json\n`, [
			`7001 FILE:11: initialConfigurationFile: found a file that is not JSON (${directory}/broken.json), expected a JSON file.`,
		]],
	];
	for (const [name, text, expected] of cases) {
		const file = path.join(directory, 'settings.yaml');
		fs.writeFileSync(file, text);
		const found = loadSettings(file).match(() => [], failures => failures
			.map(failure => `${resultCodes[failure.id].number} ${formatFailure(failure)}`.replaceAll(file, 'FILE')));
		t.same(found, expected, name);
	}

	t.match(loadSettings(path.join(directory, 'absent.yaml'))._unsafeUnwrapErr(), [{id: 'settings-unreadable', parameters: {reason: 'ENOENT'}}]);
});

test('docs/settings.md lists every field of the schema with unit and default', async t => {
	const page = fs.readFileSync(new URL('../../../../docs/settings.md', import.meta.url), 'utf8');
	const rows = page.split('\n').filter(line => line.startsWith('| `'));
	const fields = listSettingsFields();
	t.same(rows, fields.map(field => formatFieldRow(field)));
	t.same(fields.filter(({meaning}) => meaning === '').map(({path: field}) => field), []);
});
