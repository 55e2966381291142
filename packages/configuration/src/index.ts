export * from './configuration.js';
export * from './default-service-configuration.js';
export * from './match-route.js';
