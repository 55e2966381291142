import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {SlotGrant, SlotRequest, SlotSource} from '@tanagerrail/routing';
import {policies, type PolicyName} from './policies.js';

/** An endpoint that a baseline knows. */
export type PolicyEndpoint = {readonly id: string; readonly service: string; readonly address: string};

/** Options of {@link PolicySource}. */
export type PolicySourceOptions = {
	readonly policy: PolicyName;
	readonly endpoints: readonly PolicyEndpoint[];
	readonly reports: ReadonlyMap<string, number>;
	readonly random: () => number;
};

/** Picks an endpoint at once by a common policy; requests wait inside the endpoints. */
export class PolicySource implements SlotSource {
	readonly #options: PolicySourceOptions;
	readonly #inFlight = new Map<string, number>();
	#turn: number;

	constructor(options: PolicySourceOptions) {
		this.#options = options;
		// Hosts that start at the same endpoint would run in step.
		this.#turn = Math.floor(options.random() * options.endpoints.length);
	}

	acquire({service, excluded}: SlotRequest): ResultAsync<SlotGrant, Failure> {
		const {policy, endpoints, reports, random} = this.#options;
		const candidates = endpoints.filter(endpoint => endpoint.service === service && !excluded.includes(endpoint.id));
		if (candidates.length === 0) {
			return errAsync(createFailure('no-endpoint', {service}));
		}

		const address = policies[policy]({
			candidates: candidates.map(candidate => candidate.address), inFlight: this.#inFlight, reports, turn: this.#turn++, random,
		});
		this.#add(address, 1);
		return okAsync({
			endpointId: candidates.find(candidate => candidate.address === address)!.id,
			address,
			isUsable: () => true,
			release: () => {
				this.#add(address, -1);
			},
		});
	}

	#add(address: string, change: number): void {
		this.#inFlight.set(address, (this.#inFlight.get(address) ?? 0) + change);
	}
}
