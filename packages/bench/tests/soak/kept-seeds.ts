/** Seeds on which the soak has found a fault, with the cause. */
export const keptSeeds = [
	{seed: 103, cause: 'All answers to probes were late on a busy machine, and requests were refused although endpoints were idle.'},
	{seed: 205, cause: 'Large responses waited for near endpoints in a failure domain without any, and were refused.'},
	{seed: 303, cause: 'A signal to reload the settings ended a host that was starting.'},
] as const;
