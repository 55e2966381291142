import type {RandomSource} from '../load/random-source.js';
import {FaultScope, type FaultKind, type PlannedFault} from './chaos-fault.js';
import {endpointFaults} from './endpoint-faults.js';
import {entryFaults} from './entry-faults.js';
import {platformFaults} from './platform-faults.js';

/** All kinds of faults, keyed by name. */
export const faultKinds: Readonly<Record<string, FaultKind>> = {...entryFaults, ...endpointFaults, ...platformFaults};

/** Options of {@link planFaults}. */
export type PlanOptions = {
	readonly milliseconds: number;
	readonly entries: readonly string[];
	/** Endpoint ids, keyed by service. */
	readonly endpoints: Readonly<Record<string, readonly string[]>>;
};

// Minimum time between two faults of a target, so that graceful shutdowns can complete.
const recoveryMilliseconds = 1000;
const firstFaultMilliseconds = 500;
const minimumFaultMilliseconds = 300;
const maximumFaultMilliseconds = 2000;
const minimumGapMilliseconds = 100;
const maximumGapMilliseconds = 900;

/**
 * Draws single faults, pairs of simultaneous faults, and faults that are repeated once. At most two entries and fewer than half of
 * the endpoints of a service are affected at the same time.
 *
 * @param random - Random source that depends on the seed only.
 * @param options - Duration of the run and possible targets.
 * @returns The faults, sorted by start time.
 */
export function planFaults(random: RandomSource, options: PlanOptions): PlannedFault[] {
	const faults: PlannedFault[] = [];
	for (let at = firstFaultMilliseconds; at < options.milliseconds; at += random.drawBetween(minimumGapMilliseconds, maximumGapMilliseconds)) {
		const pattern = random.drawIndex(3);
		const first = planFault(random, at, faults, options);
		const second = pattern === 1 ? planFault(random, at, [...faults, ...first], options) : [];
		const repetition = pattern === 2 ? first.map(fault => repeatFault(fault)) : [];
		faults.push(...first, ...second, ...repetition);
	}

	return faults.filter(({until}) => until < options.milliseconds).sort((left, right) => left.from - right.from);
}

function planFault(random: RandomSource, from: number, planned: readonly PlannedFault[], options: PlanOptions): PlannedFault[] {
	const names = Object.keys(faultKinds);
	const kind = names[random.drawIndex(names.length)]!;
	const {scope, targets = []} = faultKinds[kind]!;
	const possible = {
		[FaultScope.entry]: options.entries,
		[FaultScope.endpoint]: Object.values(options.endpoints).flat(),
		[FaultScope.platform]: targets,
	}[scope];
	const target = possible[random.drawIndex(possible.length)]!;
	const others = options.entries.filter(id => id !== target);
	const fault = {
		kind, scope, target, otherEntry: others[random.drawIndex(others.length)]!, from, until: from + random.drawBetween(minimumFaultMilliseconds, maximumFaultMilliseconds),
	};
	return isAllowed(fault, planned, options) ? [fault] : [];
}

function isAllowed(fault: PlannedFault, planned: readonly PlannedFault[], {endpoints}: PlanOptions): boolean {
	// A repeated fault lasts three times as long in total: the fault, a pause and the repetition.
	const end = fault.until + (2 * (fault.until - fault.from)) + recoveryMilliseconds;
	const concurrent = planned.filter(({from, until}) => from < end && until + recoveryMilliseconds > fault.from);
	if (concurrent.some(({target, otherEntry, scope}) => target === fault.target
		|| (scope === FaultScope.entry && fault.scope === FaultScope.entry && (otherEntry === fault.target || target === fault.otherEntry)))) {
		return false;
	}

	const serviceEndpoints = Object.values(endpoints).find(ids => ids.includes(fault.target)) ?? [];
	const faultedEntries = new Set(concurrent.filter(({scope}) => scope === FaultScope.entry).map(({target}) => target));
	const faultedEndpoints = new Set(concurrent.filter(({target}) => serviceEndpoints.includes(target)).map(({target}) => target));
	return fault.scope === FaultScope.entry ? faultedEntries.size < 2 : (fault.scope === FaultScope.platform || (2 * (faultedEndpoints.size + 1)) < serviceEndpoints.length);
}

function repeatFault(fault: PlannedFault): PlannedFault {
	const length = fault.until - fault.from;
	return {...fault, from: fault.until + length, until: fault.until + (2 * length)};
}
