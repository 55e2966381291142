import {PolicyName} from '../baselines/policies.js';

/** What an experiment measures on the same arrivals: the product, the baselines and the bound. */
export const Variant = {product: 'product', ...PolicyName, bound: 'bound'} as const;

/** Name of a variant. */
export type Variant = typeof Variant[keyof typeof Variant];

/** The variants that a target calls baselines. */
export const baselineVariants: readonly Variant[] = Object.values(PolicyName);

/** The product, the bound and the two strongest baselines, for experiments with many runs. */
export const mainVariants: readonly Variant[] = [Variant.product, Variant.leastInFlight, Variant.twoChoices, Variant.bound];
