/** Usual duration and size of the responses of one route. */
export type ServiceProfile = {
	/** Average time until a response is complete, in milliseconds; undefined before the first response. */
	milliseconds: number | undefined;
	/** Average size of a response body in bytes; 0 before the first response. */
	bytes: number;
};

/** Weight of the newest response in the moving averages. */
const newestResponseWeight = 0.1;

/** Moving averages of the duration and size of each route's responses. */
export class ServiceProfiles {
	readonly #profiles = new Map<string, ServiceProfile>();

	/**
	 * Returns the profile of a route.
	 *
	 * @param route - Name of the route.
	 * @returns Usual duration and size of its responses.
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
		const profile = this.#profiles.get(route);
		if (!profile) {
			this.#profiles.set(route, {milliseconds, bytes});
			return;
		}

		profile.milliseconds = computeAverage(profile.milliseconds ?? milliseconds, milliseconds);
		profile.bytes = computeAverage(profile.bytes, bytes);
	}
}

function computeAverage(average: number, newest: number): number {
	return average + (newestResponseWeight * (newest - average));
}
