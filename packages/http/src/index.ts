export * from './attempt-policies.js';
export * from './caller-listener.js';
export * from './connection-pool.js';
export * from './create-listener-server.js';
export * from './endpoint-connections.js';
export * from './request-limits.js';
export * from './tls-files.js';
export type * from './request-context.js';
