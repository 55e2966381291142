import {test} from 'tap';
import {generateConfiguration} from '../src/generate-configuration.js';
import {parseAnswers} from '../src/parse-answers.js';
import {planChange} from '../src/plan-change.js';
import {readExample} from './examples.js';

for (const [name, counts, slots, connections] of [['vihmavesi', [10, 6, 10], 3, 200], ['consejo', [15, 10, 15], 6, 250]] as const) {
	test(`the example ${name} is valid, can be planned and generates the same bytes twice`, async t => {
		const answers = parseAnswers(readExample(name))._unsafeUnwrap();
		t.match(answers.topology, {
			regions: 1, failureDomains: 3, entryHosts: {fewest: 13, most: 18}, betweenDomainsMilliseconds: 0.5, toClientsMilliseconds: 8,
		});
		t.strictSame(answers.services.map(({servers}) => servers.count), counts);
		const configuration = generateConfiguration(answers);
		t.ok(configuration.services.every(service => service.slotsPerEndpoint === slots && service.connectionsPerEndpoint === connections));
		t.equal(JSON.stringify(generateConfiguration(parseAnswers(readExample(name))._unsafeUnwrap())), JSON.stringify(configuration));
		t.ok(planChange(undefined, answers).changes.length >= 3);
		t.strictSame(planChange(answers, answers), {
			changes: [], effects: [], isRoutine: true, needsApproval: [],
		});
	});
}
