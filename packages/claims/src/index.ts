export type * from './claim-service.js';
