/** Bounds of a soak, as the settings of its hosts have them and as its checks use them. */
export const soakBounds = {
	/** Attempts beyond the first for each request of a service. */
	retryRatio: 0.2,
	/** Attempts beyond the first in a window besides. */
	retrySlack: 56,
	/** Length of the window of the retry budget, in seconds. */
	retryWindowSeconds: 10,
	/** Time between the signal to stop and the end of a process, in seconds. */
	shutdownSeconds: 6,
	/** Time after which a leaving endpoint gets no request, in milliseconds. */
	drainMilliseconds: 2000,
	/** Probes a second for each endpoint. */
	probesPerSecond: 60,
	/** Time without a fault after which the bounds hold for a host, in milliseconds. */
	contactMilliseconds: 3000,
	/** Time after which a configuration is in force, in milliseconds. */
	configurationMilliseconds: 2000,
	/** Time after the effect of a configuration within which a host may still follow an older one, in milliseconds. */
	rollbackMilliseconds: 250,
	/** Time that a host may add to the time for which a client waits, in milliseconds. */
	deadlineMilliseconds: 500,
} as const;
