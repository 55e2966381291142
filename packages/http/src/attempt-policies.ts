import type {Configuration, RouteMatch} from '@tanagerrail/configuration';
import {HedgePolicy, RetryBudget} from '@tanagerrail/routing';

/** Holds the retry budget of each service and the hedge policy of each work class on this host. */
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
	 * @returns The budget; a new one if the configuration has changed its ratio.
	 */
	getRetryBudget(service: string): RetryBudget {
		this.#dropOutdated();
		const existing = this.#retryBudgets.get(service);
		if (existing) {
			return existing;
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
	 * @returns The policy; a new one if the configuration has changed.
	 */
	getHedgePolicy({service, workClass}: RouteMatch): HedgePolicy {
		this.#dropOutdated();
		const key = `${service.name}\0${workClass.name}`;
		const existing = this.#hedgePolicies.get(key);
		if (existing) {
			return existing;
		}

		const policy = new HedgePolicy({workClass, hedgeBudget: service.hedgeBudget});
		this.#hedgePolicies.set(key, policy);
		return policy;
	}

	/**
	 * Drops the policies and changed budgets after a change of the configuration. Unchanged budgets are kept with their tokens,
	 * so that a change of the configuration allows no additional retries.
	 */
	#dropOutdated(): void {
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
