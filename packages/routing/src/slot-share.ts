/** What an allocator knows about the hosts that may use its service. */
export type SlotShare = {
	/** Whether this host has the first rank for the service in its own view. */
	readonly isFirstRank: boolean;
	/** Live entry hosts in the host list. */
	readonly listed: number;
	/** Hosts that are connected to this allocator, itself included. */
	readonly connected: number;
	/** Hosts that told this allocator that they moved to another one. */
	readonly moved: number;
};

/**
 * Computes how many slots an allocator may hand out. Two allocators may serve a service for a short time; each keeps to
 * the share of the hosts that use it, so that together they exceed the slots by at most the share of lost hosts.
 *
 * @param slots - Slots of all endpoints that take new work.
 * @param share - The hosts.
 * @returns Number of slots.
 */
export function computeQuota(slots: number, {isFirstRank, listed, connected, moved}: SlotShare): number {
	if (slots === 0) {
		return 0;
	}

	const total = Math.max(1, listed);
	const share = isFirstRank ? (total - Math.min(moved, total)) / total : Math.min(1, connected / total);
	return Math.max(1, Math.floor(slots * share));
}
