export * from './host-directory.js';
export * from './pause-detector.js';
export * from './rank-hosts.js';
export * from './endpoint-follower.js';
export type * from './platform-sources.js';
export * from './route-follower.js';
export * from './run-until-aborted.js';
export * from './wait-unless-aborted.js';
