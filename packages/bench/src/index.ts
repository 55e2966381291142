export * from './testbed/index.js';
