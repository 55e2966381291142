import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {SlotGrant, SlotRequest, SlotSource} from '@tanagerrail/routing';
import {policies, type PolicyName} from './policies.js';

/** An endpoint that a baseline policy can choose. */
export type PolicyEndpoint = {readonly id: string; readonly service: string; readonly address: string};

/** Options of {@link PolicySource}. */
export type PolicySourceOptions = {
	readonly policy: PolicyName;
	readonly endpoints: readonly PolicyEndpoint[];
	readonly reportedInFlight: ReadonlyMap<string, number>;
	readonly random: () => number;
};

/** Slot source that chooses an endpoint immediately by a baseline policy; requests queue in the endpoints instead of the host. */
export class PolicySource implements SlotSource {
	readonly #options: PolicySourceOptions;
	readonly #inFlight = new Map<string, number>();
	#roundRobinIndex: number;

	constructor(options: PolicySourceOptions) {
		this.#options = options;
		// A random start keeps the hosts from sending to the same endpoint at the same time.
		this.#roundRobinIndex = Math.floor(options.random() * options.endpoints.length);
	}

	acquire({service, excluded}: SlotRequest): ResultAsync<SlotGrant, Failure> {
		const {policy, endpoints, reportedInFlight, random} = this.#options;
		const candidates = endpoints.filter(endpoint => endpoint.service === service && !excluded.includes(endpoint.id));
		if (candidates.length === 0) {
			return errAsync(createFailure('no-endpoint', {service}));
		}

		const address = policies[policy]({
			candidates: candidates.map(candidate => candidate.address), inFlight: this.#inFlight, reportedInFlight, roundRobinIndex: this.#roundRobinIndex++, random,
		});
		this.#changeInFlight(address, 1);
		return okAsync({
			endpointId: candidates.find(candidate => candidate.address === address)!.id,
			address,
			isUsable: () => true,
			release: () => {
				this.#changeInFlight(address, -1);
			},
		});
	}

	#changeInFlight(address: string, change: number): void {
		this.#inFlight.set(address, (this.#inFlight.get(address) ?? 0) + change);
	}
}
