export * from './build-service.js';
export * from './endpoint-group.js';
export * from './entry-process.js';
export * from './managed-process.js';
export * from './pick-ports.js';
export * from './read-process-usage.js';
export * from './testbed.js';
export * from './wait-until.js';
