import {test} from 'tap';
import {parseTarget} from '../src/parse-target.js';

const targets: ReadonlyArray<readonly [url: string | undefined, host: string | undefined, expected: object]> = [
	['/a/b?c=d', 'site.example', {host: 'site.example', target: '/a/b?c=d'}],
	['http://site.example/a/b?c=d', 'other.example', {host: 'site.example', target: '/a/b?c=d'}],
	['HTTPS://site.example:8443/a', undefined, {host: 'site.example:8443', target: '/a'}],
	['http://site.example', '', {host: 'site.example', target: '/'}],
	['http://site.example?c=d', '', {host: 'site.example', target: '/?c=d'}],
	['/http://site.example/a', 'h', {host: 'h', target: '/http://site.example/a'}],
	['http:///a', 'h', {host: 'h', target: 'http:///a'}],
	['*', 'h', {host: 'h', target: '*'}],
	[undefined, undefined, {host: '', target: '/'}],
];

test('targets in origin form and in absolute form', async t => {
	for (const [url, host, expected] of targets) {
		t.same(parseTarget(url, host), expected, String(url));
	}
});
