import type {Configuration, RouteMatch} from '@tanagerrail/configuration';
import {HedgePolicy, RetryBudget} from '@tanagerrail/routing';

/** The retry budget of each service and the hedge policy of each work class on this host. */
export class AttemptPolicies {
	readonly #getConfiguration: () => Configuration | undefined;
	readonly #retryBudgets = new Map<string, RetryBudget>();
	readonly #hedgePolicies = new Map<string, HedgePolicy>();
	#revision: number | undefined;

	constructor({getConfiguration}: {getConfiguration: () => Configuration | undefined}) {
		this.#getConfiguration = getConfiguration;
	}

	/**
	 * Returns the retry budget of a service.
	 *
	 * @param service - Name of the service.
	 * @returns The budget, a new one after a change of the configuration.
	 */
	getRetryBudget(service: string): RetryBudget {
		this.#expire();
		const known = this.#retryBudgets.get(service);
		if (known) {
			return known;
		}

		const ratio = this.#getConfiguration()?.services.find(({name}) => name === service)?.retryBudget;
		const budget = new RetryBudget(ratio === undefined ? {} : {ratio});
		this.#retryBudgets.set(service, budget);
		return budget;
	}

	/**
	 * Returns the hedge policy of a work class.
	 *
	 * @param match - Service and work class.
	 * @returns The policy, a new one after a change of the configuration.
	 */
	getHedgePolicy({service, workClass}: RouteMatch): HedgePolicy {
		this.#expire();
		const key = `${service.name}\0${workClass.name}`;
		const known = this.#hedgePolicies.get(key);
		if (known) {
			return known;
		}

		const policy = new HedgePolicy({workClass, hedgeBudget: service.hedgeBudget});
		this.#hedgePolicies.set(key, policy);
		return policy;
	}

	/** Drops what a new configuration changes; other budgets keep their tokens, so that a change allows no more retries. */
	#expire(): void {
		const configuration = this.#getConfiguration();
		if (configuration?.revision === this.#revision) {
			return;
		}

		this.#revision = configuration?.revision;
		for (const [name, budget] of this.#retryBudgets) {
			if (configuration?.services.find(service => service.name === name)?.retryBudget !== budget.ratio) {
				this.#retryBudgets.delete(name);
			}
		}

		this.#hedgePolicies.clear();
	}
}
