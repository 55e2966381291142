export * from './endpoint-behaviour.js';
export {bodyDurationHeader, durationHeader, lengthHeader} from './endpoint-request.js';
export {RunEnd, type EndpointRun} from './endpoint-run-log.js';
export * from './platform-faults.js';
export type {PlatformCounts, PlatformUrls} from './platform-server.js';
export * from './stand-in-endpoint.js';
export * from './stand-in-host-list.js';
export * from './stand-in-object-store.js';
export * from './stand-in-table.js';
