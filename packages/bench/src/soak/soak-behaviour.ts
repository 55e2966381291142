/** How an endpoint responds to a request that it has processed. */
export const SoakBehaviour = {
	serve: 'serve', fail: 'fail', reset: 'reset', cut: 'cut', twice: 'twice', hang: 'hang', unsealed: 'unsealed',
} as const;

/** One of the behaviours. */
export type SoakBehaviour = typeof SoakBehaviour[keyof typeof SoakBehaviour];
