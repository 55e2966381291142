import {test} from 'tap';
import {request} from 'undici';
import {buildService, Testbed, waitUntil} from '../../src/testbed/index.js';

test('killed and suspended entry hosts do not respond, restarted and resumed ones respond again', async t => {
	const testbed = await Testbed.start({entries: 2, services: [{configuration: buildService('claim-status'), endpoints: 2}]});
	const read = async (i: number) => {
		const {statusCode, body} = await request(`http://${testbed.entries[i]!.address}/claim-status/1`, {signal: AbortSignal.timeout(500)});
		await body.dump();
		return statusCode;
	};

	const readAll = async () => [await read(0), await read(1)];
	t.same(await readAll(), [200, 200]);
	const {process: frozen} = testbed.getEntry('entry-0');
	frozen.freeze();
	await t.rejects(read(0));
	frozen.resume();
	await waitUntil(async () => await read(0) === 200);
	const {process: killed} = testbed.getEntry('entry-1');
	killed.kill();
	await killed.waitForExit();
	await t.rejects(read(1));
	testbed.getEntry('entry-1').restart();
	await testbed.getEntry('entry-1').waitUntilReady();
	await waitUntil(async () => await read(1) === 200);
	t.ok(testbed.getEntry('entry-1').process.readUsage()!.residentBytes > 1e6);
	await testbed.stop();
});
