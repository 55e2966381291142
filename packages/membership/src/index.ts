export * from './host-directory.js';
export * from './pause-detector.js';
export * from './rank-hosts.js';
