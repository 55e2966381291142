import type {Clock} from '@tanagerrail/telemetry';
import type {DirectoryEndpoint} from './endpoint-directory.js';

/** What an endpoint has asked for in a response to this host. */
export type EndpointNotice = {
	/** Whether the endpoint is leaving and takes no further requests. */
	readonly isLeaving: boolean;
	/** Time for which this host is to send it nothing, in milliseconds; undefined if it has not asked for that. */
	readonly pauseMilliseconds: number | undefined;
};

/** A notice that has changed what this host knows of an endpoint. */
export type NoticeChange = {
	readonly endpoint: DirectoryEndpoint;
	readonly kind: 'leaving' | 'paused';
	/** Time for which the endpoint is not used, in milliseconds; 0 if it is leaving. */
	readonly milliseconds: number;
};

/** Options of {@link EndpointAvailability}. */
export type EndpointAvailabilityOptions = {
	readonly clock: Clock;
	/**
	 * Time after its notice for which a leaving endpoint may be used while its service has no other endpoint, in milliseconds. It
	 * ends well before the endpoint must not get requests any more.
	 */
	readonly getLeavingMilliseconds: () => number;
	/** Called when a notice has changed what is known of an endpoint. */
	readonly onChange: (change: NoticeChange) => void;
};

/** Defaults of {@link EndpointAvailabilityOptions}. */
export const defaultEndpointAvailabilityOptions = {
	getLeavingMilliseconds: () => 0,
	onChange() {/* Nothing is notified by default. */},
};

/** Longest pause that an endpoint may ask for, in milliseconds; a longer one is more likely a mistake than a wish. */
export const maximumPauseMilliseconds = 600_000;

/**
 * Time for which a leaving endpoint is remembered, in milliseconds. Another host whose state is older may list it again after it has
 * been removed.
 */
const leavingRetentionMilliseconds = 600_000;

/** Endpoints that a request may use, and how long the others of the service are paused. */
export type AvailableEndpoints = {
	readonly endpoints: readonly DirectoryEndpoint[];
	/** Time until the first pause ends, in milliseconds; undefined unless all endpoints that are not leaving are paused. */
	readonly pauseMilliseconds: number | undefined;
};

/** What is remembered of one start of an endpoint. */
type AvailabilityRecord = {
	leavingSince: number | undefined;
	pausedUntil: number;
	/** Monotonic time of the last notice, in milliseconds. */
	noticedAt: number;
};

/** Remembers which endpoints have announced to this host that they are leaving, or have asked it for a pause. */
export class EndpointAvailability {
	readonly #options: EndpointAvailabilityOptions;
	/** Records by id and start, because a notice ends with the start of the endpoint that gave it. */
	readonly #records = new Map<string, AvailabilityRecord>();

	constructor(options: Partial<EndpointAvailabilityOptions> & Pick<EndpointAvailabilityOptions, 'clock'>) {
		this.#options = {...defaultEndpointAvailabilityOptions, ...options};
	}

	/**
	 * Records a notice. A pause ends no earlier because of a later notice.
	 *
	 * @param endpoint - The endpoint that gave it.
	 * @param notice - What it asked for.
	 */
	recordNotice(endpoint: DirectoryEndpoint, {isLeaving, pauseMilliseconds = 0}: EndpointNotice): void {
		if (!isLeaving && pauseMilliseconds <= 0) {
			return;
		}

		const now = this.#options.clock();
		const record = this.#records.get(buildKey(endpoint)) ?? {leavingSince: undefined, pausedUntil: -Infinity, noticedAt: now};
		this.#records.set(buildKey(endpoint), record);
		record.noticedAt = now;
		if (isLeaving && record.leavingSince === undefined) {
			record.leavingSince = now;
			this.#options.onChange({endpoint, kind: 'leaving', milliseconds: 0});
		}

		const milliseconds = Math.min(pauseMilliseconds, maximumPauseMilliseconds);
		if (milliseconds > 0 && now + milliseconds > record.pausedUntil) {
			record.pausedUntil = now + milliseconds;
			this.#options.onChange({endpoint, kind: 'paused', milliseconds});
		}
	}

	/**
	 * Tells whether an endpoint may get a probe or a request, apart from the needs of its service.
	 *
	 * @param endpoint - The endpoint.
	 * @returns Whether it is neither leaving nor paused.
	 */
	isAvailable(endpoint: DirectoryEndpoint): boolean {
		const record = this.#records.get(buildKey(endpoint));
		return record === undefined || (record.leavingSince === undefined && record.pausedUntil <= this.#options.clock());
	}

	/**
	 * Selects the endpoints of a service that a request may use. Leaving endpoints are used for a short time if there is no other, so
	 * that the replacement of all endpoints at once interrupts no one.
	 *
	 * @param endpoints - All endpoints of the service.
	 * @returns The endpoints that are available.
	 */
	findAvailable(endpoints: readonly DirectoryEndpoint[]): AvailableEndpoints {
		if (this.#records.size === 0) {
			return {endpoints, pauseMilliseconds: undefined};
		}

		const now = this.#options.clock();
		const staying = endpoints.filter(endpoint => this.#records.get(buildKey(endpoint))?.leavingSince === undefined);
		const candidates = staying.length > 0 ? staying : endpoints.filter(endpoint => this.#mayStillServe(endpoint, now));
		const pauses = candidates.map(endpoint => (this.#records.get(buildKey(endpoint))?.pausedUntil ?? -Infinity) - now);
		const available = candidates.filter((_, index) => pauses[index]! <= 0);
		const areAllPaused = candidates.length > 0 && available.length === 0;
		return {endpoints: available, pauseMilliseconds: areAllPaused ? Math.min(...pauses) : undefined};
	}

	/**
	 * Drops what is no longer needed of endpoints that are not listed.
	 *
	 * @param listed - All listed endpoints.
	 */
	dropRecordsExcept(listed: ReadonlyArray<Pick<DirectoryEndpoint, 'id' | 'startedAt'>>): void {
		if (this.#records.size === 0) {
			return;
		}

		const keys = new Set(listed.map(endpoint => buildKey(endpoint)));
		const oldest = this.#options.clock() - leavingRetentionMilliseconds;
		for (const [key, {noticedAt}] of this.#records) {
			// Without the time of its start, an endpoint that is listed again cannot be told from its successor under the same id.
			if (!keys.has(key) && (noticedAt < oldest || key.endsWith(unknownStartSuffix))) {
				this.#records.delete(key);
			}
		}
	}

	#mayStillServe(endpoint: DirectoryEndpoint, now: number): boolean {
		const {leavingSince = -Infinity} = this.#records.get(buildKey(endpoint)) ?? {};
		return now < leavingSince + this.#options.getLeavingMilliseconds();
	}
}

/** End of the keys of endpoints whose registry entries have no time of their start. */
const unknownStartSuffix = '@0';

function buildKey({id, startedAt}: Pick<DirectoryEndpoint, 'id' | 'startedAt'>): string {
	return `${id}@${startedAt}`;
}
