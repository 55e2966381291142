import type {LoadReport, ProbeTarget, ProbeTargets} from '@tanagerrail/measuring';
import type {Clock} from '@tanagerrail/telemetry';
import type {EndpointPool} from './endpoint-pool.js';
import type {Endpoint} from './endpoint.js';

/** Options of {@link ProbePlanner}. */
export type ProbePlannerOptions = {
	readonly endpoints: EndpointPool;
	readonly clock: Clock;
	/** Whether this allocator is the one that measures; only the first in rank does, so that hosts do not add up. */
	readonly isActive: () => boolean;
	/** Called when a probe shows that an endpoint is leaving. */
	readonly onDrain: (endpointId: string) => void;
	/** An endpoint that was heard of within this time is not probed, in milliseconds. */
	readonly freshMilliseconds: number;
};

/** Defaults of {@link ProbePlannerOptions}. */
export const defaultProbePlannerOptions = {freshMilliseconds: 1000};

/** Probes the endpoint that was heard of least recently; endpoints with traffic tell their state in each response. */
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
		let oldest: Endpoint | undefined;
		for (const endpoint of endpoints.list()) {
			if (endpoint.seenAt < (oldest?.seenAt ?? now - freshMilliseconds)) {
				oldest = endpoint;
			}
		}

		oldest?.recordProbe(now);
		return oldest && {endpointId: oldest.id, address: oldest.address};
	}

	receive({endpointId}: ProbeTarget, report: LoadReport | undefined): void {
		const endpoint = this.#options.endpoints.get(endpointId);
		if (!endpoint || !report) {
			return;
		}

		if (report.isDraining) {
			endpoint.drain('its load report says that it is leaving');
			this.#options.onDrain(endpointId);
			return;
		}

		endpoint.resume();
	}
}
