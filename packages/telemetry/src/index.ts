export * from './clock.js';
export * from './create-stdout-sink.js';
export * from './invariants.js';
export * from './log-messages.js';
export * from './logger.js';
export * from './metric-table.js';
export * from './metrics.js';
export * from './prometheus-metrics.js';
