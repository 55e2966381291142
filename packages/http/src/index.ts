export * from './attempt-policies.js';
export * from './caller-listener.js';
export * from './connection-pool.js';
export * from './endpoint-connections.js';
export type * from './request-context.js';
export * from './request-limits.js';
