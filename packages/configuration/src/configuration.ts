/** Kind of work: beyond its declared share of the slots, long work yields to short work. */
export const WorkKind = {short: 'short', long: 'long'} as const;

/** `short` or `long`. */
export type WorkKind = typeof WorkKind[keyof typeof WorkKind];

/** Priority of a work class; a lower rank in {@link priorityRanks} is served first. */
export const Priority = {interactive: 'interactive', normal: 'normal', batch: 'batch'} as const;

/** `interactive`, `normal` or `batch`. */
export type Priority = typeof Priority[keyof typeof Priority];

/** Order of priorities in a queue. */
export const priorityRanks: Readonly<Record<Priority, number>> = {interactive: 0, normal: 1, batch: 2};

/** How non-idempotent requests without an `Idempotency-Key` header are handled. */
export const MissingKeyPolicy = {refuse: 'refuse', singleAttempt: 'single-attempt'} as const;

/** `refuse` or `single-attempt`. */
export type MissingKeyPolicy = typeof MissingKeyPolicy[keyof typeof MissingKeyPolicy];

/** A class of requests with the same durations, priority and deadline. */
export type WorkClass = {
	readonly name: string;
	readonly kind: WorkKind;
	readonly priority: Priority;
	/** Typical duration at the endpoint, in milliseconds. */
	readonly usualMilliseconds: number;
	/** Longest allowed duration at the endpoint, in milliseconds. */
	readonly longestMilliseconds: number;
	/** Time from arrival to the end of the response, in milliseconds, unless the caller requests a shorter one. */
	readonly deadlineMilliseconds: number;
	/** Whether idempotent requests of the class may be hedged. */
	readonly hedge: boolean;
};

/** Maps requests to a work class; the first matching route applies. */
export type Route = {
	/** HTTP method, or `*`. */
	readonly method: string;
	/** Path pattern: `*` matches one segment, a final `**` matches the rest. */
	readonly path: string;
	readonly workClass: string;
	readonly idempotent: boolean;
};

/** Service-level objective of a work class: the share of its requests that get a good response in time. */
export type ServiceLevel = {
	readonly workClass: string;
	/** Responses that take longer count as bad, in milliseconds. */
	readonly latencyMilliseconds: number;
	/** Target share of good responses, between 0 and 1. */
	readonly objective: number;
	/** Length of the window over which the objective is measured, in days. */
	readonly windowDays: number;
};

/** The configuration of one service. */
export type ServiceConfiguration = {
	readonly name: string;
	readonly slotsPerEndpoint: number;
	readonly connectionsPerEndpoint: number;
	readonly workClasses: readonly WorkClass[];
	readonly routes: readonly Route[];
	/** Share of the slots that long work may hold, between 0 and 1. */
	readonly longWorkShare: number;
	/** Longest expected queueing time that is admitted, as a fraction of the deadline, between 0 and 1. */
	readonly maximumWaitFraction: number;
	/** Maximum average number of retries per request, for example 0.1. */
	readonly retryBudget: number;
	/** Maximum average number of hedged attempts per request, for example 0.02. */
	readonly hedgeBudget: number;
	readonly missingKey: MissingKeyPolicy;
	/** Retention of the outcomes of requests with an `Idempotency-Key`, in days. */
	readonly outcomeDays: number;
	/** Path of the endpoints' load report; empty if the endpoints do not report load. */
	readonly loadPath: string;
	readonly serviceLevels: readonly ServiceLevel[];
};

/** Budget for the load probes to the endpoints of one service. */
export type MeasuringBudget = {
	readonly probesPerSecond: number;
	readonly bytesPerSecond: number;
};

/** The configuration of a host. */
export type Configuration = {
	/** Revision number of the accepted change; 0 before the first one. */
	readonly revision: number;
	readonly services: readonly ServiceConfiguration[];
	readonly measuring: MeasuringBudget;
	/** Writes per second that all hosts together may send to the table service. */
	readonly tableWritesPerSecond: number;
};
