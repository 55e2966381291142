export * from './build-service.js';
export * from './choose-entry-addresses.js';
export * from './endpoint-group.js';
export * from './entry-process.js';
export * from './managed-process.js';
export * from './read-process-usage.js';
export * from './testbed.js';
export * from './wait-until.js';
