export * from './build-operator-configuration.js';
export * from './choose-loopback-address.js';
export * from './endpoint-behaviour.js';
export * from './platform-faults.js';
export * from './stand-in-endpoint.js';
export * from './stand-in-host-list.js';
export * from './stand-in-object-store.js';
export * from './stand-in-table.js';
export * from './tcp-relay.js';
export * from './variable-speed-work.js';
export type {PlatformCounts, PlatformUrls} from './platform-server.js';
export {RequestEnd, type EndpointRequestRecord} from './endpoint-request-log.js';
export {
	bodyDurationHeader, durationHeader, lengthHeader, requestIdHeader,
} from './endpoint-request.js';
export * from './stand-in-routed-endpoint.js';
export * from './stand-in-row-store.js';
