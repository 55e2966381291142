/** A load report in the text form of ORCA (Open Request Cost Aggregation) that may be old or wrong. */
export class EndpointLoadReport {
	#text = '';
	#madeAt = -Infinity;

	/**
	 * Returns the report as the endpoint gives it now.
	 *
	 * @param load - Requests in the endpoint and its slots.
	 * @param lagMilliseconds - Age that a report reaches before a new one is made.
	 * @returns The text of `endpoint-load-metrics`.
	 */
	describe({inFlight, slots}: {readonly inFlight: number; readonly slots: number}, lagMilliseconds: number): string {
		const now = performance.now();
		if (now - this.#madeAt >= lagMilliseconds) {
			this.#madeAt = now;
			this.#text = `TEXT named_metrics.in_flight=${inFlight},named_metrics.slots=${slots}`;
		}

		return this.#text;
	}
}
