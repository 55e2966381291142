import type {Fleet} from '../scenarios/index.js';

/** What a fault hits; two faults never hit the same target at once. */
export const FaultScope = {entry: 'entry', endpoint: 'endpoint', platform: 'platform'} as const;

/** `entry`, `endpoint` or `platform`. */
export type FaultScope = typeof FaultScope[keyof typeof FaultScope];

/** A fault of a plan; times are milliseconds since the start of the run. */
export type PlannedFault = {
	readonly kind: string;
	readonly scope: FaultScope;
	/** Id of the entry or endpoint, or the platform service. */
	readonly target: string;
	/** Another entry, for cuts between two entries. */
	readonly other: string;
	readonly from: number;
	readonly until: number;
};

/** Causes and ends a fault. */
export type FaultKind = {
	readonly scope: FaultScope;
	/** Platform services that the fault can hit. */
	readonly targets?: readonly string[];
	begin(fleet: Fleet, fault: PlannedFault): Promise<void> | void;
	end(fleet: Fleet, fault: PlannedFault): Promise<void> | void;
};
