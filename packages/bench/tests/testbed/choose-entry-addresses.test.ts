import {createServer} from 'node:net';
import {once} from 'node:events';
import {test} from 'tap';
import {chooseEntryAddresses} from '../../src/testbed/index.js';

// Guards against a fleet that fails to start because another process binds the chosen port first.
test('an entry host can listen on a port that is in use on 127.0.0.1', async t => {
	const {callers} = chooseEntryAddresses();
	const [host = '', port] = callers.split(':');
	const other = createServer().listen(Number(port), '127.0.0.1');
	// If a concurrent run of this test already uses the port, the test is equally valid.
	await Promise.race([once(other, 'listening'), once(other, 'error')]);
	const server = createServer().listen(Number(port), host);
	await once(server, 'listening');
	t.not(host, '127.0.0.1');
	server.close();
	other.close();
});

test('each host gets different addresses', t => {
	const hosts = new Set(Array.from({length: 100}, () => chooseEntryAddresses().callers));
	t.equal(hosts.size, 100);
	t.end();
});
