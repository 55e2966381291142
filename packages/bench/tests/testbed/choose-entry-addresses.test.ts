import {createServer} from 'node:net';
import {once} from 'node:events';
import {test} from 'tap';
import {chooseEntryAddresses} from '../../src/testbed/index.js';

// Guards against a fleet that fails to start because another process has taken a port that was free a moment before.
test('a port that is taken on 127.0.0.1 does not keep an entry from listening', async t => {
	const {callers} = chooseEntryAddresses();
	const [host = '', port] = callers.split(':');
	const other = createServer().listen(Number(port), '127.0.0.1');
	// Another run of this test may hold the port, which serves the purpose as well.
	await Promise.race([once(other, 'listening'), once(other, 'error')]);
	const server = createServer().listen(Number(port), host);
	await once(server, 'listening');
	t.not(host, '127.0.0.1');
	server.close();
	other.close();
});

test('addresses differ from host to host', t => {
	const hosts = new Set(Array.from({length: 100}, () => chooseEntryAddresses().callers));
	t.equal(hosts.size, 100);
	t.end();
});
