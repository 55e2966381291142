/** Bounds of a soak. They are written to the settings of its hosts, and the checks use the same values. */
export const soakBounds = {
	/** Retries that each request of a service adds to the budget. */
	retryRatio: 0.2,
	/** Retries in a window that are allowed in addition, however few requests there are. */
	retrySlack: 56,
	/** Length of the window of the retry budget, in seconds. */
	retryWindowSeconds: 10,
	/** Longest time between the stop signal and the exit of a process, in seconds. */
	shutdownSeconds: 6,
	/** Time after the announced departure of an endpoint from which it gets no new requests, in milliseconds. */
	drainMilliseconds: 2000,
	/** Time after a request for a pause from which the pause is checked, in milliseconds. */
	pauseSlackMilliseconds: 500,
	/** Requests that may reach an endpoint from one host during a pause. */
	requestsInPause: 2,
	/** Probes per second of each endpoint. */
	probesPerSecond: 60,
	/** Recovery time after a fault from which the time bounds apply to a host again, in milliseconds. */
	contactMilliseconds: 3000,
	/** Time within which a host applies a new configuration, in milliseconds. */
	configurationMilliseconds: 2000,
	/** Time after the first response that follows a configuration in which requests may still see an older one, in milliseconds. */
	rollbackMilliseconds: 250,
	/** Tolerance by which the deadline that a host sends to an endpoint may exceed the client's, in milliseconds. */
	deadlineMilliseconds: 500,
} as const;
