export * from './endpoint-control.js';
export * from './fleet.js';
export * from './run-variant.js';
export * from './variant.js';
