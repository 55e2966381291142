import fs from 'node:fs';
import path from 'node:path';
import {test} from 'tap';
import {formatFailure} from '@tanagerrail/results';
import {loadEdgeSettings} from '../src/edge-settings.js';

const valid = `host:
  id: "h1"
  failureDomain: "a"
listen:
  callers: "10.0.0.1:80"
  readiness: "10.0.0.1:81"
  metrics: "10.0.0.1:82"
  peers: "10.0.0.1:83"
readinessPath: /ready
store:
  address: "10.0.0.9:83"
bounds:
  retryRatio: 0.2
  retrySlack: 56
  retryWindowSeconds: 10
  shutdownSeconds: 6
  drainMilliseconds: 2000
  probesPerSecond: 60
`;

test('accepts unknown fields, which a newer platform may add', async t => {
	const file = path.join(t.testdir({'s.yaml': `${valid}newField: 1\n`}), 's.yaml');
	t.match(loadEdgeSettings(file)._unsafeUnwrap(), {host: {id: 'h1'}, bounds: {retrySlack: 56}, log: {linesPerSecond: 500}});
});

const invalidSettings: ReadonlyArray<readonly [title: string, text: string, message: RegExp]> = [
	['a bad address', valid.replace('10.0.0.9:83', 'localhost'), /s\.yaml:11: store\.address: found an invalid value/v],
	['a missing bound', valid.replace('  retrySlack: 56\n', ''), /bounds\.retrySlack: found nothing/v],
	['invalid YAML', 'host: [', /found .*, expected valid YAML/v],
];
for (const [title, text, message] of invalidSettings) {
	test(`reports file, line and field of ${title}`, async t => {
		const file = path.join(t.testdir({'s.yaml': text}), 's.yaml');
		const [failure] = loadEdgeSettings(file)._unsafeUnwrapErr();
		t.match(formatFailure(failure!), message);
		t.ok(fs.existsSync(file));
	});
}

test('reports a missing file as a single failure', async t => {
	const [failure] = loadEdgeSettings('/nowhere/s.yaml')._unsafeUnwrapErr();
	t.equal(failure!.id, 'settings-unreadable');
});
