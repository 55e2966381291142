export * from './caller.js';
export * from './entry-balancer.js';
export * from './find-inconsistencies.js';
export * from './fleet.js';
export * from './parse-scenario.js';
export * from './run-scenario.js';
export * from './scenario-error.js';
export * from './sent-request.js';
