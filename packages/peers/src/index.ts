export * from './allocator-registry.js';
export * from './slot-link.js';
export type * from './slot-messages.js';
export * from './slot-router.js';
export * from './slot-server.js';
export * from './verify-key.js';
