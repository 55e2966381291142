/** A load report in the text format of ORCA (Open Request Cost Aggregation), which can be made stale or wrong. */
export class EndpointLoadReport {
	#text = '';
	#createdAt = -Infinity;

	/**
	 * Returns the current report, creating a new one if the last is too old.
	 *
	 * @param load - Number of requests in flight, and number of slots.
	 * @param lagMilliseconds - Time for which a report is reused before a new one is created.
	 * @returns The value of the `endpoint-load-metrics` header.
	 */
	describe({inFlight, slots}: {readonly inFlight: number; readonly slots: number}, lagMilliseconds: number): string {
		const now = performance.now();
		if (now - this.#createdAt >= lagMilliseconds) {
			this.#createdAt = now;
			this.#text = `TEXT named_metrics.in_flight=${inFlight},named_metrics.slots=${slots}`;
		}

		return this.#text;
	}
}
