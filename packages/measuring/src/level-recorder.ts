import {
	type Configuration, type ServiceConfiguration, type WorkClass, WorkKind,
} from '@tanagerrail/configuration';
import {recordLatency, type ClassWindow} from './class-window.js';
import type {LevelSnapshot, StoredClass, StoredCost} from './level-snapshot.js';
import type {MeasuringCost} from './measuring-meter.js';
import {WindowTier, windowTiers} from './window-tier.js';

/** A finished request of a caller. */
export type LevelRecord = {
	readonly service: string;
	readonly workClass: string;
	/** Time from arrival to the end of the response, in milliseconds. */
	readonly milliseconds: number;
	readonly status: number;
	/** Result code of a refusal; `undefined` for a response from an endpoint. */
	readonly code: number | undefined;
	/** Time spent waiting for a slot, in milliseconds. */
	readonly waitMilliseconds: number;
};

/** Options of {@link LevelRecorder}. */
export type LevelRecorderOptions = {
	readonly hostId: string;
	readonly incarnation: string;
	/** Returns the time in milliseconds since the epoch, by which the windows of different hosts are merged. */
	readonly now: () => number;
	readonly getConfiguration: () => Configuration | undefined;
};

/** Period of the error budget of a work class without an objective, in days. */
const defaultWindowDays = 30;

/** Lowest HTTP status that counts as an error of the service rather than of the caller. */
const firstServerErrorStatus = 500;

type PromisedLevel = Pick<StoredClass, 'latencyMilliseconds' | 'objective' | 'windowDays'>;
type ClassTiers = {readonly fine: WindowTier; readonly medium: WindowTier; readonly coarse: WindowTier};
type ServiceCounts = {readonly classes: Map<string, ClassTiers>; costs: StoredCost[]; longWorkUntil: number};

/** Counts good, bad and refused requests of one host and records their latencies, by service and work class. */
export class LevelRecorder {
	readonly #options: LevelRecorderOptions;
	readonly #services = new Map<string, ServiceCounts>();
	readonly #startedAt: number;

	constructor(options: Partial<LevelRecorderOptions> & Omit<LevelRecorderOptions, 'now'>) {
		this.#options = {now: Date.now, ...options};
		this.#startedAt = this.#options.now();
	}

	/**
	 * Records a finished request.
	 *
	 * @param record - The request and its result.
	 */
	record(record: LevelRecord): void {
		const service = this.#options.getConfiguration()?.services.find(({name}) => name === record.service);
		const workClass = service?.workClasses.find(({name}) => name === record.workClass);
		if (!service || !workClass) {
			return;
		}

		const now = this.#options.now();
		const counts = this.#getService(service.name);
		const verdict = decideRecordVerdict(record, findPromisedLevel(service, workClass));
		const tiers = getTiers(counts, workClass.name);
		for (const name of ['fine', 'medium', 'coarse'] as const) {
			const window = tiers[name].get(now);
			updateWindow(window, record, verdict);
			window.hasLongWork ||= counts.longWorkUntil >= Math.floor(now / windowTiers[name].lengthMilliseconds) * windowTiers[name].lengthMilliseconds;
		}

		if (workClass.kind === WorkKind.long) {
			this.#markLongWork(counts, now - record.milliseconds, now);
		}
	}

	/**
	 * Records the cost of load probes in one second.
	 *
	 * @param service - Name of the service.
	 * @param cost - The cost.
	 */
	recordCost(service: string, {messages, bytes, processorMilliseconds}: MeasuringCost): void {
		const now = this.#options.now();
		const counts = this.#getService(service);
		const {lengthMilliseconds, retentionMilliseconds} = windowTiers.fine;
		const start = Math.floor(now / lengthMilliseconds) * lengthMilliseconds;
		const last = counts.costs.at(-1);
		const previous = last?.start === start
			? counts.costs.pop()!
			: {
				start, messages: 0, bytes: 0, processorMilliseconds: 0, peakMessages: 0, peakBytes: 0,
			};
		counts.costs = counts.costs.filter(entry => entry.start >= now - retentionMilliseconds);
		counts.costs.push({
			start,
			messages: previous.messages + messages,
			bytes: previous.bytes + bytes,
			processorMilliseconds: previous.processorMilliseconds + processorMilliseconds,
			peakMessages: Math.max(previous.peakMessages, messages),
			peakBytes: Math.max(previous.peakBytes, bytes),
		});
	}

	/**
	 * Takes a snapshot of all counts in the retention time.
	 *
	 * @param isFinal - Whether the process records nothing after this snapshot.
	 * @returns The snapshot.
	 */
	takeSnapshot(isFinal = false): LevelSnapshot {
		const {hostId, incarnation, now, getConfiguration} = this.#options;
		const at = now();
		const configuration = getConfiguration();
		return {
			format: 1,
			hostId,
			incarnation,
			startedAt: this.#startedAt,
			at,
			isFinal,
			services: (configuration?.services ?? []).map(service => ({
				name: service.name,
				probesPerSecond: configuration!.measuring.probesPerSecond,
				bytesPerSecond: configuration!.measuring.bytesPerSecond,
				costs: this.#getService(service.name).costs,
				classes: service.workClasses.map(workClass => this.#encodeClass(service, workClass, at)),
			})),
		};
	}

	#encodeClass(service: ServiceConfiguration, workClass: WorkClass, at: number): StoredClass {
		const tiers = getTiers(this.#getService(service.name), workClass.name);
		return {
			name: workClass.name,
			kind: workClass.kind,
			...findPromisedLevel(service, workClass),
			fine: tiers.fine.list(at),
			medium: tiers.medium.list(at),
			coarse: tiers.coarse.list(at),
		};
	}

	#markLongWork(counts: ServiceCounts, from: number, to: number): void {
		counts.longWorkUntil = Math.max(counts.longWorkUntil, to);
		for (const tiers of counts.classes.values()) {
			tiers.fine.markLongWork(from, to);
			tiers.medium.markLongWork(from, to);
			tiers.coarse.markLongWork(from, to);
		}
	}

	#getService(name: string): ServiceCounts {
		const existing = this.#services.get(name);
		if (existing) {
			return existing;
		}

		const counts: ServiceCounts = {classes: new Map(), costs: [], longWorkUntil: -Infinity};
		this.#services.set(name, counts);
		return counts;
	}
}

function getTiers(counts: ServiceCounts, workClass: string): ClassTiers {
	const existing = counts.classes.get(workClass);
	if (existing) {
		return existing;
	}

	const tiers = {fine: new WindowTier('fine'), medium: new WindowTier('medium'), coarse: new WindowTier('coarse')};
	counts.classes.set(workClass, tiers);
	return tiers;
}

function findPromisedLevel(service: ServiceConfiguration, {name, deadlineMilliseconds}: WorkClass): PromisedLevel {
	const level = service.serviceLevels.find(({workClass}) => workClass === name);
	return {
		latencyMilliseconds: level?.latencyMilliseconds ?? deadlineMilliseconds,
		windowDays: level?.windowDays ?? defaultWindowDays,
		...(level && {objective: level.objective}),
	};
}

/**
 * Rates a request. A status of 500 or above is bad. Below 500, a refusal or disconnection caused by the caller is excluded,
 * and a response from an endpoint is good if its latency is within the limit.
 */
function decideRecordVerdict({status, code, milliseconds}: LevelRecord, {latencyMilliseconds}: PromisedLevel): 'good' | 'bad' | 'excluded' {
	if (status >= firstServerErrorStatus) {
		return 'bad';
	}

	if (code !== undefined) {
		return 'excluded';
	}

	return milliseconds <= latencyMilliseconds ? 'good' : 'bad';
}

function updateWindow(window: ClassWindow, {code, milliseconds, waitMilliseconds}: LevelRecord, verdict: 'good' | 'bad' | 'excluded'): void {
	window[verdict] += 1;
	window.waitMilliseconds += waitMilliseconds;
	if (code === undefined) {
		recordLatency(window, milliseconds);
		return;
	}

	window.refused[code] = (window.refused[code] ?? 0) + 1;
}
