import dgram from 'node:dgram';
import {once} from 'node:events';
import fs from 'node:fs';
import {test} from 'tap';
import {formatMetricRow, metricTable, type MetricName} from '../src/metric-table.js';
import {createMetrics} from '../src/metrics.js';

test('docs/metrics.md matches the metric table', async t => {
	const page = fs.readFileSync(new URL('../../../../docs/metrics.md', import.meta.url), 'utf8');
	t.same(page.split('\n').filter(line => line.startsWith('| `')), (Object.keys(metricTable) as MetricName[]).map(name => formatMetricRow(name)));
});

test('metrics are sent to a StatsD server with their documented names and tags', async t => {
	const server = dgram.createSocket('udp4');
	server.bind(0, '127.0.0.1');
	await once(server, 'listening');
	const metrics = createMetrics({host: '127.0.0.1', port: server.address().port, tags: {host: 'a'}});
	t.teardown(() => {
		metrics.close();
		server.close();
	});
	metrics.recordTiming('request.duration', 12, {service: 's', work_class: 'r'});
	const [packet] = await once(server, 'message') as [Uint8Array];
	t.match(String(packet), /^tanagerrail\.request\.duration:12\|ms\|#host:a,service:s,work_class:r/v);
});
