export * from './dynamo-table.js';
export * from './host-list.js';
export * from './http-host-list.js';
export type * from './object-store.js';
export * from './s3-objects.js';
export {defaultServiceClientOptions, type ServiceClientOptions, type ServiceCredentials} from './service-client.js';
export type * from './table-service.js';
