import {test} from 'tap';
import {noPlatformFaults, StandInObjectStore} from '@tanagerrail/stand-ins';
import {createS3Objects} from '../src/s3-objects.js';

test('objects are read back unchanged, and an outage is not reported as a missing object', async t => {
	const standIn = new StandInObjectStore({pageSize: 1});
	const {url} = await standIn.start();
	const objects = createS3Objects({url, timeoutMilliseconds: 300});
	t.teardown(() => {
		objects.close();
		standIn.stop();
	});
	const body = Buffer.alloc(100_000, 'ä&<');
	await objects.put('outcomes/a&b', body);
	await objects.put('outcomes/c', Buffer.from('c'));
	const fetched = await objects.get('outcomes/a&b');
	t.same(Buffer.from(fetched._unsafeUnwrap()), body);
	const listed = await objects.list('outcomes/');
	t.same(listed._unsafeUnwrap(), ['outcomes/a&b', 'outcomes/c'], 'all pages');
	await objects.delete('outcomes/c');
	const getFailure = async () => objects.get('outcomes/c').match(() => 'found', ({id}) => id);
	t.equal(await getFailure(), 'object-missing');
	for (const faults of [{down: 'refused'}, {down: 'unavailable'}, {slowMilliseconds: 600}] as const) {
		await standIn.update(faults);
		t.equal(await getFailure(), 'object-unavailable', JSON.stringify(faults));
		await standIn.update(noPlatformFaults);
	}
});
