export * from './platform-faults.js';
export type {PlatformCounts, PlatformUrls} from './platform-server.js';
export * from './stand-in-endpoint.js';
export * from './stand-in-host-list.js';
export * from './stand-in-object-store.js';
export * from './stand-in-table.js';
