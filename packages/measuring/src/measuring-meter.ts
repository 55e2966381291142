import type {MeasuringBudget} from '@tanagerrail/configuration';
import {checkInvariant, type Clock} from '@tanagerrail/telemetry';

/** Cost of measuring, that is, of load probes, in one second. */
export type MeasuringCost = {
	/** Number of probes sent. */
	readonly messages: number;
	/** Bytes sent and received on the sockets of probes. */
	readonly bytes: number;
	/** Time spent in the synchronous code of probes, in milliseconds. */
	readonly processorMilliseconds: number;
};

/** Options of {@link MeasuringMeter}. */
export type MeasuringMeterOptions = {
	readonly service: string;
	readonly clock: Clock;
	readonly budget: MeasuringBudget;
	/** Called with the cost of each second in which probes were sent or received. */
	readonly onSecond: (cost: MeasuringCost) => void;
};

/** Counts the cost of load probes in each second and asserts that it stays within the budget. */
export class MeasuringMeter {
	readonly #options: MeasuringMeterOptions;
	#budget: MeasuringBudget;
	#previousBudget: MeasuringBudget | undefined;
	#budgetChangedAt = -1;
	#second = -1;
	#cost: MeasuringCost = {messages: 0, bytes: 0, processorMilliseconds: 0};

	constructor(options: MeasuringMeterOptions) {
		this.#options = options;
		this.#budget = options.budget;
	}

	/**
	 * Changes the budget. Responses to probes sent under the previous one may still arrive in the next second.
	 *
	 * @param budget - The new budget.
	 */
	setBudget(budget: MeasuringBudget): void {
		this.finishSecond();
		this.#budgetChangedAt = this.#second;
		this.#previousBudget = this.#budget;
		this.#budget = budget;
	}

	/**
	 * Adds a cost to the current second.
	 *
	 * @param cost - The cost; parts left out count as zero.
	 */
	add({messages = 0, bytes = 0, processorMilliseconds = 0}: Partial<MeasuringCost>): void {
		this.finishSecond();
		const cost = {
			messages: this.#cost.messages + messages,
			bytes: this.#cost.bytes + bytes,
			processorMilliseconds: this.#cost.processorMilliseconds + processorMilliseconds,
		};
		this.#cost = cost;
		const {service} = this.#options;
		const probesPerSecond = Math.max(this.#budget.probesPerSecond, this.#previousBudget?.probesPerSecond ?? 0);
		const bytesPerSecond = Math.max(this.#budget.bytesPerSecond, this.#previousBudget?.bytesPerSecond ?? 0);
		checkInvariant(
			cost.messages <= probesPerSecond && cost.bytes <= bytesPerSecond,
			'measuring-budget',
			() => `service ${service}: ${cost.messages} of ${probesPerSecond} probes, ${cost.bytes} of ${bytesPerSecond} bytes in one second`,
		);
	}

	/** Reports the cost of the last second if that second is over. */
	finishSecond(): void {
		const second = Math.floor(this.#options.clock() / 1000);
		if (second === this.#second) {
			return;
		}

		if (second > this.#budgetChangedAt + 1) {
			this.#previousBudget = undefined;
		}

		const previousCost = this.#cost;
		this.#second = second;
		this.#cost = {messages: 0, bytes: 0, processorMilliseconds: 0};
		if (previousCost.messages > 0 || previousCost.bytes > 0) {
			this.#options.onSecond(previousCost);
		}
	}
}
