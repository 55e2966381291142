import fs from 'node:fs';
import t from 'tap';
import {runSoak} from '../../src/soak/index.js';
import {regressionSeeds} from './regression-seeds.js';

/** Period in which faults begin; manual runs are longer and use more clients. */
const seconds = 6;
const clients = 8;

// Seed 1 is a short general run; the other seeds guard against defects that were found with them.
for (const {seed, cause} of [{seed: 1, cause: 'short run'}, ...regressionSeeds]) {
	t.test(`no promise is broken on seed ${seed}: ${cause}`, async t => {
		const {breaches, requests, directory, lateness} = await runSoak({seed, seconds, clients});
		t.same(breaches, [], `event loop delay ${lateness} ms at p99; logs: ${directory}`);
		t.ok(requests > 100, 'the clients sent requests');
		if (breaches.length === 0) {
			fs.rmSync(directory, {recursive: true, force: true});
		}
	});
}
