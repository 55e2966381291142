export * from './arrival.js';
export * from './plan-arrivals.js';
export * from './random-source.js';
export * from './run-load.js';
export * from './summarize-samples.js';
