export * from './stand-in-endpoint.js';
export * from './stand-in-host-list.js';
export * from './tcp-relay.js';
