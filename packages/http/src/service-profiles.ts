/** Usual duration and size of the responses of one route at one service. */
export type ServiceProfile = {
	/** Usual time until a response is complete, in milliseconds; nothing before the first response. */
	milliseconds: number | undefined;
	/** Usual size of a response body in bytes; 0 before the first response. */
	bytes: number;
};

/** Weight of the newest response in the averages. */
const newestWeight = 0.1;

/** The usual responses of each route, learned from those that pass through. */
export class ServiceProfiles {
	readonly #profiles = new Map<string, ServiceProfile>();

	/**
	 * Returns what is usual for a route.
	 *
	 * @param route - Name of the route.
	 * @returns Its profile.
	 */
	get(route: string): Readonly<ServiceProfile> {
		return this.#profiles.get(route) ?? {milliseconds: undefined, bytes: 0};
	}

	/**
	 * Records a complete response.
	 *
	 * @param route - Name of the route.
	 * @param milliseconds - Time from sending the request to the end of the response.
	 * @param bytes - Size of the body.
	 */
	record(route: string, milliseconds: number, bytes: number): void {
		const known = this.#profiles.get(route);
		if (!known) {
			this.#profiles.set(route, {milliseconds, bytes});
			return;
		}

		known.milliseconds = computeAverage(known.milliseconds ?? milliseconds, milliseconds);
		known.bytes = computeAverage(known.bytes, bytes);
	}
}

function computeAverage(known: number, newest: number): number {
	return known + (newestWeight * (newest - known));
}
