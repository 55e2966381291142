import {test} from 'tap';
import {buildEndpointHeaders} from '../src/forwarded-headers.js';

test('hop-by-hop headers are removed, including those that Connection names, and Forwarded cannot be forged', async t => {
	const result = buildEndpointHeaders({
		headers: {
			host: 'example.org', connection: 'keep-alive, X-Hop', 'x-hop': '1', 'keep-alive': 'timeout=5', te: 'trailers', trailer: 'x', upgrade: 'h2c',
			'transfer-encoding': 'chunked', 'proxy-authorization': 'secret', forwarded: 'for=1.2.3.4', 'request-timeout': '5', 'x-kept': 'yes',
		},
		callerAddress: '::1',
		hostId: 'entry;1',
		bodyLength: 3,
	});
	t.same(result, {
		host: 'example.org', 'x-kept': 'yes', forwarded: 'for="[::1]";by=_entry1', 'content-length': '3',
	});
});
