import {relayedStateSchema} from '@tanagerrail/peers';
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

/** State as a peer sends it; each list has an entry, so that the code for entries is compiled too. */
const exampleRelayedState = {
	incarnation: '1',
	hasSource: true,
	age: 1,
	registryVersion: 1,
	directory: {
		cursor: 1, isFull: true, removed: [], endpoints: [{
			id: 'server-1', address: '10.0.0.3:1', service: 'reads', failureDomain: 'zone-a', slots: 3, isDraining: false, startedAt: 1, sequence: 1, coldMilliseconds: 0,
		}],
	},
	hostsVersion: 1,
	hosts: [{
		id: 'host-2', failureDomain: 'zone-a', peerAddress: '10.0.0.4:1', cores: 1, seenMilliseconds: 1,
	}],
	crashes: {version: 1, records: [{fingerprint: 'request', crashes: 1}]},
};

/**
 * Runs the decoders on examples while a startup snapshot is built. The snapshot contains the compiled code of functions that
 * have run, so a host that starts from it does not compile them again.
 */
export function runDecoders(): void {
	parseEdgeSettings('example', exampleSettings);
	decodeRouteTable(encode(exampleConfiguration));
	decodeEndpointListing('server-1', encode(exampleEndpointEntry));
	relayedStateSchema.parse(exampleRelayedState);
}

function encode(value: object): Buffer {
	return Buffer.from(JSON.stringify(value));
}
