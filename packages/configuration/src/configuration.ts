/** Kind of work: short work goes before long work beyond the long work's declared share. */
export const WorkKind = {short: 'short', long: 'long'} as const;

/** `short` or `long`. */
export type WorkKind = typeof WorkKind[keyof typeof WorkKind];

/** Priority of a work class; a lower rank in {@link priorityRanks} is served first. */
export const Priority = {interactive: 'interactive', normal: 'normal', batch: 'batch'} as const;

/** `interactive`, `normal` or `batch`. */
export type Priority = typeof Priority[keyof typeof Priority];

/** Order of priorities in a queue. */
export const priorityRanks: Readonly<Record<Priority, number>> = {interactive: 0, normal: 1, batch: 2};

/** What happens to non-idempotent work without an `Idempotency-Key`. */
export const MissingKey = {refuse: 'refuse', singleAttempt: 'single-attempt'} as const;

/** `refuse` or `single-attempt`. */
export type MissingKey = typeof MissingKey[keyof typeof MissingKey];

/** A class of requests that behave alike. */
export type WorkClass = {
	readonly name: string;
	readonly kind: WorkKind;
	readonly priority: Priority;
	/** Usual duration at the endpoint in milliseconds. */
	readonly usualMilliseconds: number;
	/** Longest allowed duration at the endpoint in milliseconds. */
	readonly longestMilliseconds: number;
	/** Time from arrival to the end of the response, in milliseconds, unless the caller asks for less. */
	readonly deadlineMilliseconds: number;
	/** Whether idempotent requests of the class may be hedged. */
	readonly hedge: boolean;
};

/** Maps requests to a work class. The first route that matches wins. */
export type Route = {
	/** HTTP method, or `*`. */
	readonly method: string;
	/** Path pattern: `*` matches one segment, a final `**` matches the rest. */
	readonly path: string;
	readonly workClass: string;
	readonly idempotent: boolean;
};

/** Promise about a work class: a share of requests that get a good response in time. */
export type ServiceLevel = {
	readonly workClass: string;
	/** A response later than this is bad, in milliseconds. */
	readonly latencyMilliseconds: number;
	/** Share of good responses, between 0 and 1. */
	readonly objective: number;
	/** Length of the period for which the objective is promised, in days. */
	readonly windowDays: number;
};

/** Everything that decides about the requests of one service. */
export type ServiceConfiguration = {
	readonly name: string;
	readonly slotsPerEndpoint: number;
	readonly connectionsPerEndpoint: number;
	readonly workClasses: readonly WorkClass[];
	readonly routes: readonly Route[];
	/** Share of the slots that long work may hold, between 0 and 1. */
	readonly longWorkShare: number;
	/** Longest expected wait as a share of the deadline, between 0 and 1. */
	readonly maximumWaitFraction: number;
	/** Attempts beyond the first for each request, for example 0.1. */
	readonly retryBudget: number;
	/** Hedges for each request, for example 0.02. */
	readonly hedgeBudget: number;
	readonly missingKey: MissingKey;
	/** Days for which the outcome of a keyed request is kept. */
	readonly outcomeDays: number;
	/** Path of the endpoints' load report; empty when they report none. */
	readonly loadPath: string;
	readonly serviceLevels: readonly ServiceLevel[];
};

/** Budget for measuring the load of one service's endpoints. */
export type MeasuringBudget = {
	readonly probesPerSecond: number;
	readonly bytesPerSecond: number;
};

/** The configuration that is in force on a host. */
export type Configuration = {
	/** Number of the accepted change; 0 before the first. */
	readonly revision: number;
	readonly services: readonly ServiceConfiguration[];
	readonly measuring: MeasuringBudget;
	/** Writes a second that all hosts together may send to the table service. */
	readonly tableWritesPerSecond: number;
};
