export * from './failure.js';
export * from './outcome.js';
export * from './problem-details.js';
export * from './result-codes.js';
