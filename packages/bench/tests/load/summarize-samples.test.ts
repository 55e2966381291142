import {test} from 'tap';
import {summarizeSamples, type Sample} from '../../src/load/index.js';

function createSample(latency: number, {status = 200, code = 0} = {}): Sample {
	return {
		arrival: {
			at: 0, kind: 'short', host: 0, method: 'GET', target: '/x', headers: {},
		},
		latency, lateness: 0.5, status, code,
	};
}

test('refusals and broken connections are not counted as fast responses', async t => {
	const samples = [
		...Array.from({length: 99}, (_, i) => createSample(i + 1)),
		createSample(1000),
		createSample(1, {status: 503, code: 3001}),
		createSample(1, {status: 0}),
	];
	const {requests, answered, refused, failed, p50, p99, max} = summarizeSamples(samples);
	t.same({
		requests, answered, refused, failed,
	}, {
		requests: 102, answered: 100, refused: 1, failed: 1,
	});
	for (const [found, expected] of [[p50, 50], [p99, 99], [max, 1000]] as const) {
		t.ok(Math.abs(found - expected) < expected * 0.002, `${found} is not ${expected}`);
	}

	t.equal(summarizeSamples([]).p99, 0);
});
