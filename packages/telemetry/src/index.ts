export * from './clock.js';
export * from './invariants.js';
export * from './log-messages.js';
export * from './logger.js';
export * from './metric-table.js';
export * from './metrics.js';
