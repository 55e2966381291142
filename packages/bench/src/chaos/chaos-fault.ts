import type {Fleet} from '../scenarios/index.js';

/** Kind of target that a fault affects; at most one fault affects a target at a time. */
export const FaultScope = {entry: 'entry', endpoint: 'endpoint', platform: 'platform'} as const;

/** `entry`, `endpoint` or `platform`. */
export type FaultScope = typeof FaultScope[keyof typeof FaultScope];

/** A fault of a plan; times are milliseconds since the start of the run. */
export type PlannedFault = {
	readonly kind: string;
	readonly scope: FaultScope;
	/** Id of the entry or endpoint, or name of the platform service. */
	readonly target: string;
	/** Id of another entry, for faults of the link between two entries. */
	readonly otherEntry: string;
	readonly from: number;
	readonly until: number;
};

/** Starts and ends faults of one kind. */
export type FaultKind = {
	readonly scope: FaultScope;
	/** Platform services that the fault can affect. */
	readonly targets?: readonly string[];
	begin(fleet: Fleet, fault: PlannedFault): Promise<void> | void;
	end(fleet: Fleet, fault: PlannedFault): Promise<void> | void;
};
