import type {EndpointSelector} from '@tanagerrail/routing';
import {Deferred} from './deferred.js';
import type {HeldConnection} from './probe-client.js';

/** Time after which the selection is retried, in milliseconds. */
const reselectMilliseconds = 25;

/** Waits until an endpoint reports free capacity, or a fixed time at most. */
export class EndpointWait {
	readonly #ended = new Deferred<void>();
	readonly #timer: NodeJS.Timeout;
	readonly #unsubscribe: () => void;

	/**
	 * @param selector - Notifies of reports of endpoints with free capacity.
	 * @param service - Service whose endpoints are waited for.
	 */
	constructor(selector: EndpointSelector<HeldConnection>, service: string) {
		this.#timer = setTimeout(() => {
			this.#end();
		}, reselectMilliseconds);
		this.#unsubscribe = selector.waitForCapacity(service, () => {
			this.#end();
		});
	}

	/** Resolves when the selection should be retried; never after the wait was cancelled. */
	get ended(): Promise<void> {
		return this.#ended.promise;
	}

	/** Cancels the wait. */
	cancel(): void {
		clearTimeout(this.#timer);
		this.#unsubscribe();
	}

	#end(): void {
		this.cancel();
		this.#ended.resolve();
	}
}
