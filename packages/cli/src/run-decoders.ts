import {decodeEndpointListing, decodeRouteTable} from '@tanagerrail/vihmavesi';
import {parseEdgeSettings} from './edge-settings.js';

const exampleSettings = `
host: {id: "host-1", failureDomain: "zone-a"}
listen: {callers: "10.0.0.1:1", readiness: "10.0.0.1:2", metrics: "10.0.0.1:3", peers: "10.0.0.1:4"}
readinessPath: /ready
store:
  address: "10.0.0.2:1"
bounds:
  retryRatio: 0.2
  retrySlack: 10
  retryWindowSeconds: 10
  shutdownSeconds: 6
  drainMilliseconds: 2000
  probesPerSecond: 60
`;

const exampleRoute = {
	name: 'route', hostname: 'site.example', path_prefix: '/', type: 'safe', timeout_ms: 1000, target_latency_ms: 400, priority: 1, max_attempts: 2,
};

const exampleConfiguration = {
	version: 'r1',
	routes: [{...exampleRoute, service: 'reads'}, {...exampleRoute, traffic_split: [{service: 'reads', weight: 1}]}],
	services: [{name: 'reads', health_check_path: '/health', max_connections: 10}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
};

const exampleEndpointEntry = {
	address: '10.0.0.3:1', born: 1, information: {service: 'reads', zone: 'zone-a', slots: 3}, status: {state: 'ready', sequence: 1, cold_remaining_ms: 0},
};

/**
 * Runs the decoders on examples while a startup snapshot is built. The snapshot contains the compiled code of functions that
 * have run, so a host that starts from it does not compile them again.
 */
export function runDecoders(): void {
	parseEdgeSettings('example', exampleSettings);
	decodeRouteTable(encode(exampleConfiguration));
	decodeEndpointListing('server-1', encode(exampleEndpointEntry));
}

function encode(value: object): Buffer {
	return Buffer.from(JSON.stringify(value));
}
