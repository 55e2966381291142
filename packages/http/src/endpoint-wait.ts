import type {EndpointSelector} from '@tanagerrail/routing';
import {Deferred} from './deferred.js';
import type {HeldConnection} from './probe-client.js';

/** Time after which a host that found no good endpoint looks again, in milliseconds. */
const reselectMilliseconds = 25;

/** Wait of a request for an endpoint with room. */
export class EndpointWait {
	readonly #ended = new Deferred<void>();
	readonly #timer: NodeJS.Timeout;
	readonly #withdraw: () => void;

	/**
	 * @param selector - Tells when an endpoint reports room.
	 * @param service - Service of the endpoint.
	 */
	constructor(selector: EndpointSelector<HeldConnection>, service: string) {
		this.#timer = setTimeout(() => {
			this.#end();
		}, reselectMilliseconds);
		this.#withdraw = selector.waitReport(service, () => {
			this.#end();
		});
	}

	/** Resolves when it is time to look again; never after the wait was cancelled. */
	get ended(): Promise<void> {
		return this.#ended.promise;
	}

	/** Ends the wait without a look. */
	cancel(): void {
		clearTimeout(this.#timer);
		this.#withdraw();
	}

	#end(): void {
		this.cancel();
		this.#ended.resolve();
	}
}
