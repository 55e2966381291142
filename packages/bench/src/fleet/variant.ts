import {PolicyName} from '../baselines/policies.js';

/**
 * Balancers that an experiment compares under the same arrivals: the product, the baselines (common balancing policies) and
 * the bound. The bound is a single process in which the product's allocators have the state of every slot and one queue for
 * each service; it serves as the reference for the best achievable result.
 */
export const Variant = {product: 'product', ...PolicyName, bound: 'bound'} as const;

/** Name of a variant. */
export type Variant = typeof Variant[keyof typeof Variant];

/** The variants that the targets of experiments refer to as baselines. */
export const baselineVariants: readonly Variant[] = Object.values(PolicyName);

/** The product, the bound and the two strongest baselines, for experiments with many runs. */
export const mainVariants: readonly Variant[] = [Variant.product, Variant.leastInFlight, Variant.twoChoices, Variant.bound];
