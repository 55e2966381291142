import type {HostDirectory} from '@tanagerrail/membership';
import {SlotLink, type defaultSlotLinkOptions, type SlotLinkOptions} from './slot-link.js';

/** Options of {@link SlotLinks}: those that all links have in common, without the ones that have defaults. */
export type SlotLinksOptions = Omit<SlotLinkOptions, 'peerId' | 'peerAddress' | 'onGoodbye' | keyof typeof defaultSlotLinkOptions> & {
	readonly directory: HostDirectory;
};

/** The links of this host to the allocators of other hosts. */
export class SlotLinks {
	readonly #options: SlotLinksOptions;
	readonly #links = new Map<string, SlotLink>();

	constructor(options: SlotLinksOptions) {
		this.#options = options;
	}

	/**
	 * Lists the links.
	 *
	 * @returns All links, whether they are open or not.
	 */
	list(): readonly SlotLink[] {
		return [...this.#links.values()];
	}

	/**
	 * Finds the link to a host.
	 *
	 * @param id - Id of the host.
	 * @returns The link, if there is one.
	 */
	find(id: string): SlotLink | undefined {
		return this.#links.get(id);
	}

	/**
	 * Returns the link to a host and creates it if necessary.
	 *
	 * @param id - Id of the host.
	 * @returns The link, which may still be connecting; undefined for a host without a known address.
	 */
	open(id: string): SlotLink | undefined {
		const {directory} = this.#options;
		const known = this.#links.get(id);
		const peerAddress = directory.find(id)?.peerAddress;
		if (known ?? peerAddress === undefined) {
			return known;
		}

		const link = new SlotLink({
			...this.#options,
			peerId: id,
			peerAddress,
			onGoodbye(peerId) {
				directory.recordGoodbye(peerId);
			},
		});
		this.#links.set(id, link);
		void link.run();
		return link;
	}

	/** Closes the links to hosts that left the host list or changed their address. */
	closeStale(): void {
		for (const [id, link] of this.#links) {
			if (this.#options.directory.find(id)?.peerAddress !== link.peerAddress) {
				link.close();
				this.#links.delete(id);
			}
		}
	}

	/** Reconnects all links. */
	reset(): void {
		for (const link of this.#links.values()) {
			link.reset();
		}
	}

	/** Closes all links permanently. */
	close(): void {
		for (const link of this.#links.values()) {
			link.close();
		}
	}
}
