import fs from 'node:fs';
import t from 'tap';
import {runSoak} from '../../src/soak/index.js';
import {keptSeeds} from './kept-seeds.js';

/** Time in which faults begin, in seconds; runs by hand are longer and have more clients. */
const seconds = 6;
const clients = 8;

// The first seed is a short run of the current code; the others guard against faults that were found on them.
for (const {seed, cause} of [{seed: 1, cause: 'short run'}, ...keptSeeds]) {
	t.test(`no promise is broken on seed ${seed}: ${cause}`, async t => {
		const {breaches, requests, directory, lateness} = await runSoak({seed, seconds, clients});
		t.same(breaches, [], `timers were ${lateness} ms late at p99; logs: ${directory}`);
		t.ok(requests > 100, 'the clients sent requests');
		if (breaches.length === 0) {
			fs.rmSync(directory, {recursive: true, force: true});
		}
	});
}
