/** Inputs of {@link computeQuota}: the rank of the allocator's host, and the hosts that may use the service. */
export type QuotaInput = {
	/** Whether this host ranks first for the service according to its own host list. */
	readonly isFirstRank: boolean;
	/** Number of live entry hosts in the host list. */
	readonly listed: number;
	/** Number of hosts that are connected to this allocator, including its own host. */
	readonly connected: number;
	/** Number of hosts that have reported to this allocator that they use another one. */
	readonly moved: number;
};

/**
 * Computes how many slots an allocator may grant or lease at the same time. Two allocators may serve a service for a short time, so
 * each is limited to the share of the hosts that use it; the two quotas exceed the slots by at most the share of lost hosts.
 *
 * @param slots - Slots of all endpoints that take new work.
 * @param input - The rank and the numbers of hosts.
 * @returns Number of slots.
 */
export function computeQuota(slots: number, {isFirstRank, listed, connected, moved}: QuotaInput): number {
	if (slots === 0) {
		return 0;
	}

	const total = Math.max(1, listed);
	const share = isFirstRank ? (total - Math.min(moved, total)) / total : Math.min(1, connected / total);
	return Math.max(1, Math.floor(slots * share));
}
