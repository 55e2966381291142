import type {LoadReport, ProbeTarget, ProbeTargets} from '@tanagerrail/measuring';
import type {Clock} from '@tanagerrail/telemetry';
import type {EndpointPool} from './endpoint-pool.js';
import type {Endpoint} from './endpoint.js';

/** Options of {@link ProbePlanner}. */
export type ProbePlannerOptions = {
	readonly endpoints: EndpointPool;
	readonly clock: Clock;
	/** Whether this allocator sends probes; only the first in rank does, so that probes do not multiply. */
	readonly isActive: () => boolean;
	/** Called when a load report has a draining notice. */
	readonly onDrain: (endpointId: string) => void;
	/** Time after a response or probe during which an endpoint is not probed, in milliseconds. */
	readonly freshMilliseconds: number;
};

/** Defaults of {@link ProbePlannerOptions}. */
export const defaultProbePlannerOptions = {freshMilliseconds: 1000};

/**
 * Chooses the endpoint with the least recent response or probe. Endpoints with traffic need no probes, because their responses
 * carry the same notices.
 */
export class ProbePlanner implements ProbeTargets {
	readonly #options: ProbePlannerOptions;

	constructor(options: Partial<ProbePlannerOptions> & Omit<ProbePlannerOptions, keyof typeof defaultProbePlannerOptions>) {
		this.#options = {...defaultProbePlannerOptions, ...options};
	}

	choose(): ProbeTarget | undefined {
		const {endpoints, clock, isActive, freshMilliseconds} = this.#options;
		if (!isActive()) {
			return undefined;
		}

		const now = clock();
		let leastRecent: Endpoint | undefined;
		for (const endpoint of endpoints.list()) {
			if (endpoint.seenAt < (leastRecent?.seenAt ?? now - freshMilliseconds)) {
				leastRecent = endpoint;
			}
		}

		leastRecent?.recordProbe(now);
		return leastRecent && {endpointId: leastRecent.id, address: leastRecent.address};
	}

	receive({endpointId}: ProbeTarget, report: LoadReport | undefined): void {
		const endpoint = this.#options.endpoints.get(endpointId);
		if (!endpoint || !report) {
			return;
		}

		if (report.isDraining) {
			endpoint.drain('its load report has a draining notice');
			this.#options.onDrain(endpointId);
			return;
		}

		endpoint.resume();
	}
}
