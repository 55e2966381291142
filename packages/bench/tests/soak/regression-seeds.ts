/** Seeds with which the soak has found a defect, and its cause. */
export const regressionSeeds = [
	{seed: 103, cause: 'All probe responses were late on a busy machine, and requests were refused although endpoints were idle.'},
	{seed: 205, cause: 'Requests with large responses waited for endpoints in a failure domain that had none, and were refused.'},
	{seed: 303, cause: 'The signal to reload the settings terminated a host that was starting.'},
] as const;
