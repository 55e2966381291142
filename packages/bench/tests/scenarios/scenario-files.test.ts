import t from 'tap';
import {listScenarios, readScenario, scenarioGroups} from './scenario-files.js';

t.test('each scenario runs in one test file, and each promise and failure has one', async t => {
	const names = listScenarios();
	for (const name of names) {
		t.equal(Object.values(scenarioGroups).filter(pattern => pattern.test(name)).length, 1, `${name} belongs to one group`);
	}

	const proved = new Set(names.flatMap(name => readScenario(name).proves));
	const subjects = [
		'promise-2',
		'promise-3',
		'promise-4',
		'promise-5',
		'promise-6',
		'endpoint-slow',
		'endpoint-drains-without-warning',
		'endpoint-fails-fast',
		'table-down',
		'table-slow',
		'table-response-lost',
		'objects-down',
		'holder-paused',
		'request-crashes-endpoints',
	];
	for (const subject of subjects) {
		t.ok(proved.has(subject), `${subject} has a scenario`);
	}
});
