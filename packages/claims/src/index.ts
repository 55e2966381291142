export type * from './claim-service.js';
export * from './table-claims.js';
export {defaultTableClaimsOptions, type TableClaimsOptions} from './table-claims-options.js';
export * from './unavailable-claims.js';
