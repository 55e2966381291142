import {setTimeout as wait} from 'node:timers/promises';
import {test} from 'tap';
import {StandInEndpoint} from '@tanagerrail/stand-ins';
import {getViolationCounts, readMonotonicClock} from '@tanagerrail/telemetry';
import {LoadProber} from '../src/load-prober.js';
import {parseLoadReport, type LoadReport} from '../src/load-report.js';
import type {MeasuringCost} from '../src/measuring-meter.js';

test('load reports are parsed; malformed parts are skipped rather than read as zero', async t => {
	const cases: Array<[Record<string, string>, LoadReport | undefined]> = [
		[{'endpoint-load-metrics': 'TEXT named_metrics.in_flight=2,named_metrics.slots=3'}, {metrics: {'named_metrics.in_flight': 2, 'named_metrics.slots': 3}, isDraining: false}],
		[{'endpoint-load-metrics': 'TEXT cpu_utilization=,a=x,b=0.5, c = 1'}, {metrics: {b: 0.5, c: 1}, isDraining: false}],
		[{'endpoint-load-metrics': 'JSON {}', 'endpoint-state': 'draining'}, {metrics: {}, isDraining: true}],
		[{}, undefined],
	];
	for (const [headers, expected] of cases) {
		t.same(parseLoadReport(headers), expected);
	}
});

test('probes stay within the budget of each second even if a target is always available', async t => {
	const endpoint = new StandInEndpoint({isDraining: true});
	const address = `127.0.0.1:${await endpoint.start()}`;
	const costs: MeasuringCost[] = [];
	const reports: Array<LoadReport | undefined> = [];
	const prober = new LoadProber({probesPerSecond: 5, bytesPerSecond: 4096}, {
		service: 'status',
		loadPath: '/-/load',
		clock: readMonotonicClock,
		onCost(cost) {
			costs.push(cost);
		},
		targets: {
			choose: () => ({endpointId: 'a', address}),
			receive(_target, report) {
				reports.push(report);
			},
		},
		intervalMilliseconds: 2,
	});
	prober.start();
	while (reports.length < 12) {
		await wait(20);
	}

	prober.stop();
	endpoint.stop();
	t.ok(costs.every(({messages, bytes}) => messages <= 5 && bytes <= 4096), JSON.stringify(costs));
	t.ok(costs.some(({bytes, processorMilliseconds}) => bytes > 0 && processorMilliseconds > 0));
	t.equal(reports[0]?.isDraining, true);
	t.same(getViolationCounts(), {});
});
