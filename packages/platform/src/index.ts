export * from './host-list.js';
export * from './http-host-list.js';
export type * from './object-store.js';
export type * from './table-service.js';
