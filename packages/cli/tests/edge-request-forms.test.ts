import {test} from 'tap';
import {
	buildRequestHead, openSocket, startEdgeHost, waitFor,
} from './fixtures/edge-fixture.js';

test('a request that expects an interim response is served', async t => {
	const {endpoints, settings} = await startEdgeHost(t);
	const socket = openSocket(settings.listen.callers);
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
		if (received.startsWith('HTTP/1.1 100 ') && !received.includes('ran ')) {
			socket.write('paid');
		}
	});
	t.teardown(() => socket.destroy());
	socket.write(buildRequestHead('/payments/1', 'expecting-1', 'expect: 100-continue\r\ncontent-length: 4\r\n').replace('GET', 'POST'));
	await waitFor(() => received.includes('ran /payments/1'));
	t.match(received, /HTTP\/1\.1 200 /v);
	const [request] = endpoints.payments!.flatMap(({requests}) => requests);
	t.match(request, {body: 'paid', headers: {expect: undefined}});
});

test('a request with a target in absolute form is served', async t => {
	const {endpoints, settings} = await startEdgeHost(t);
	const socket = openSocket(settings.listen.callers);
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	t.teardown(() => socket.destroy());
	socket.write(buildRequestHead('http://site.example/reads/1?a=b', 'absolute-1').replace('host: site.example', 'host: other.example'));
	await waitFor(() => received.includes('ran '));
	t.match(received, /^HTTP\/1\.1 200 /v);
	t.equal(endpoints.reads!.flatMap(({requests}) => requests).at(0)?.target, '/reads/1?a=b');
});
