import type {RandomSource} from '../load/random-source.js';
import {FaultScope, type FaultKind, type PlannedFault} from './chaos-fault.js';
import {endpointFaults} from './endpoint-faults.js';
import {entryFaults} from './entry-faults.js';
import {platformFaults} from './platform-faults.js';

/** All kinds of faults by name. */
export const faultKinds: Readonly<Record<string, FaultKind>> = {...entryFaults, ...endpointFaults, ...platformFaults};

/** What a plan is drawn for. */
export type PlanOptions = {
	readonly milliseconds: number;
	readonly entries: readonly string[];
	/** Endpoint ids by service. */
	readonly endpoints: Readonly<Record<string, readonly string[]>>;
};

// A target recovers for a while before its next fault, so that the graceful ones can end.
const recoveryMilliseconds = 1000;
const firstFault = 500;
const shortestFault = 300;
const longestFault = 2000;
const shortestGap = 100;
const longestGap = 900;

/**
 * Draws faults singly, two at the same time, and the same one twice. At most two entries and fewer than half of the
 * endpoints of a service are hit at the same time.
 *
 * @param random - Depends on the seed only.
 * @param options - Length of the run and possible targets.
 * @returns The faults in the order of their beginnings.
 */
export function planFaults(random: RandomSource, options: PlanOptions): PlannedFault[] {
	const faults: PlannedFault[] = [];
	for (let at = firstFault; at < options.milliseconds; at += random.drawBetween(shortestGap, longestGap)) {
		const shape = random.drawIndex(3);
		const first = planFault(random, at, faults, options);
		const second = shape === 1 ? planFault(random, at, [...faults, ...first], options) : [];
		const again = shape === 2 ? first.map(fault => repeatFault(fault)) : [];
		faults.push(...first, ...second, ...again);
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
		kind, scope, target, other: others[random.drawIndex(others.length)]!, from, until: from + random.drawBetween(shortestFault, longestFault),
	};
	return isAllowed(fault, planned, options) ? [fault] : [];
}

function isAllowed(fault: PlannedFault, planned: readonly PlannedFault[], {endpoints}: PlanOptions): boolean {
	// A fault that is drawn twice takes three times its length.
	const end = fault.until + (2 * (fault.until - fault.from)) + recoveryMilliseconds;
	const near = planned.filter(({from, until}) => from < end && until + recoveryMilliseconds > fault.from);
	if (near.some(({target, other, scope}) => target === fault.target || (scope === FaultScope.entry && fault.scope === FaultScope.entry && (other === fault.target || target === fault.other)))) {
		return false;
	}

	const service = Object.values(endpoints).find(ids => ids.includes(fault.target)) ?? [];
	const hitEntries = new Set(near.filter(({scope}) => scope === FaultScope.entry).map(({target}) => target));
	const hitEndpoints = new Set(near.filter(({target}) => service.includes(target)).map(({target}) => target));
	return fault.scope === FaultScope.entry ? hitEntries.size < 2 : (fault.scope === FaultScope.platform || (2 * (hitEndpoints.size + 1)) < service.length);
}

function repeatFault(fault: PlannedFault): PlannedFault {
	const length = fault.until - fault.from;
	return {...fault, from: fault.until + length, until: fault.until + (2 * length)};
}
